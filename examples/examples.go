// Package examples embeds the example configurations and settings of complete deployments.
package examples

import "embed"

// Files holds a folder for each deployment, with configuration.json and the settings of each VM.
//
//go:embed migraciones-andinas baenatimi-labs single
var Files embed.FS

// Folders of the deployments.
const (
	MigracionesAndinas = "migraciones-andinas"
	BaenatimiLabs      = "baenatimi-labs"
	Single             = "single"
)

// Configuration returns the configuration document of a deployment.
func Configuration(deployment string) ([]byte, error) {
	return Files.ReadFile(deployment + "/configuration.json")
}
