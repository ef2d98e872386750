package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/rpc"
)

// Files of the trial system.
const (
	tlsFolder         = "tls"
	ctlFile           = "ctl.jsonc"           // settings of greengagelockctl
	configurationFile = "configuration.jsonc" // in the form that config show prints
	telemetryFile     = "telemetry.txt"       // one line per process: its name and the URL of its telemetry endpoint
)

// spareControllers are controllers that the operator starts: the first replaces a running controller, the
// second replaces the first after the loss of its disk.
var spareControllers = []string{"control-4", "control-5"}

// writeTrialFiles writes the files that an operator needs to work on the running system.
func (d *demo) writeTrialFiles(ctx context.Context) error {
	addresses, err := d.writeSpares()
	if err != nil {
		return err
	}
	if err := d.writeCtlSettings(addresses); err != nil {
		return err
	}
	shown, err := d.operator.Show(ctx, 0)
	if err != nil {
		return err
	}
	if err := d.writeFile(configurationFile, fmt.Sprintf("// revision %d\n%s", shown.Revision, shown.Document)); err != nil {
		return err
	}
	var lines strings.Builder
	for _, name := range slices.Sorted(maps.Keys(d.telemetryURLs)) {
		fmt.Fprintf(&lines, "%s %s\n", name, d.telemetryURLs[name])
	}
	return d.writeFile(telemetryFile, lines.String())
}

// writeCtlSettings writes the settings of greengagelockctl. They list the spare controllers too, so that
// the tool still works once these have replaced others.
func (d *demo) writeCtlSettings(spareAddresses []string) error {
	files, err := d.authority.Issue(model.RoleOperator, "trial")
	if err != nil {
		return err
	}
	var addresses []string
	for _, c := range d.controllers {
		addresses = append(addresses, c.Address.String())
	}
	return d.writeJSON(ctlFile, "Settings of greengagelockctl for the trial system.", map[string]any{
		"controllers": append(addresses, spareAddresses...), "tls": tlsSettings(files),
	})
}

// writeSpares writes the settings of the spare controllers and returns their addresses.
func (d *demo) writeSpares() ([]string, error) {
	var addresses []string
	for _, name := range spareControllers {
		address, err := d.addresses.NextTCP()
		if err != nil {
			return nil, err
		}
		if err := d.writeSpareSettings(name, address.String()); err != nil {
			return nil, err
		}
		addresses = append(addresses, address.String())
	}
	return addresses, nil
}

// writeSpareSettings writes the settings of a controller that replaces the first running one.
func (d *demo) writeSpareSettings(name, address string) error {
	files, err := d.authority.Issue(model.RoleController, name)
	if err != nil {
		return err
	}
	telemetry, err := d.addresses.NextTCP()
	if err != nil {
		return err
	}
	d.telemetryURLs[name] = "http://" + telemetry.String()
	self := map[string]any{"name": name, "address": address}
	var running []any
	for _, c := range d.controllers {
		running = append(running, map[string]any{"name": c.Name, "address": c.Address.String()})
	}
	return d.writeJSON(name+".jsonc", "Settings of one more controller. Start it with --join: it joins the log of \"controllers\".", map[string]any{
		"name": name, "vm": name, "zone": "trial", "roles": []string{"controller"},
		"controllers": running,
		"controller": map[string]any{
			"listen": address, "data_dir": name,
			"members": append(slices.Clone(running[1:]), self),
		},
		"tls":       tlsSettings(files),
		"telemetry": map[string]any{"listen": telemetry.String()},
	})
}

// tlsSettings returns the TLS part of a settings file. Its paths are relative to the folder of that file.
func tlsSettings(files rpc.TLSFiles) map[string]string {
	path := func(file string) string { return filepath.Join(tlsFolder, filepath.Base(file)) }
	return map[string]string{"cert": path(files.Cert), "key": path(files.Key), "ca": path(files.CA)}
}

func (d *demo) writeJSON(name, comment string, value any) error {
	text, err := json.MarshalIndent(value, "", "\t")
	if err != nil {
		return err
	}
	return d.writeFile(name, "// "+comment+"\n"+string(text)+"\n")
}

func (d *demo) writeFile(name, text string) error {
	return os.WriteFile(filepath.Join(d.folder, name), []byte(text), 0o600)
}

// formatCounts returns counts as " (2 with GGL-2004, 1 with GGL-2009)", or an empty string without counts.
func formatCounts(counts map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d with %s", counts[name], name))
	}
	if parts == nil {
		return ""
	}
	return " (" + strings.Join(parts, ", ") + ")"
}
