// Package examples embeds the example configurations and settings of complete deployments.
package examples

import "embed"

// Files holds one folder per deployment, with configuration.json and the settings of each process.
//
//go:embed migraciones-andinas baenatimi-labs single
var Files embed.FS

// Folders of the deployments in Files.
const (
	MigracionesAndinas = "migraciones-andinas"
	BaenatimiLabs      = "baenatimi-labs"
	Single             = "single"
)

// Configuration returns the configuration document of a deployment.
func Configuration(deployment string) ([]byte, error) {
	return Files.ReadFile(deployment + "/configuration.json")
}
