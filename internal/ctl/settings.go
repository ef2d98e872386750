package ctl

import (
	"net/url"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/greengagelock/greengagelock/internal/jsonc"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/rpc"
	"github.com/greengagelock/greengagelock/internal/settings"
	"github.com/greengagelock/greengagelock/internal/telemetry"
)

// clientSettings are the settings of greengagelockctl itself.
type clientSettings struct {
	Controllers []string      `json:"controllers"` // addresses, such as "10.0.0.1:7300"
	TLS         settings.TLS  `json:"tls"`
	Trace       traceSettings `json:"trace"`
}

// traceSettings say where the spans of commands go. With an exporter, every command is sampled.
type traceSettings struct {
	Exporter string `json:"exporter"` // none by default
	Endpoint string `json:"endpoint"` // base URL of the collector, for otlp
}

func loadSettings(path string) (*clientSettings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, usageError{errors.Wrap(err, "name the settings of this tool with --settings")}
	}
	s := &clientSettings{}
	doc := jsonc.Decode(path, data, s)
	if len(s.Controllers) == 0 {
		doc.Report("controllers", "the addresses of the controllers")
	}
	checkTrace(doc, s.Trace)
	dir := filepath.Dir(path)
	for key, file := range map[string]*string{"tls.cert": &s.TLS.Cert, "tls.key": &s.TLS.Key, "tls.ca": &s.TLS.CA} {
		if *file != "" && !filepath.IsAbs(*file) {
			*file = filepath.Join(dir, *file)
		}
		if _, err := os.Stat(*file); err != nil {
			doc.Report(key, "a file that can be read")
		}
	}
	if err := doc.Err(); err != nil {
		return nil, result.New(result.SettingsInvalid, "%v", err)
	}
	return s, nil
}

func checkTrace(doc *jsonc.Document, t traceSettings) {
	switch t.Exporter {
	case "", telemetry.ExporterNone, telemetry.ExporterStdout:
	case telemetry.ExporterOTLP:
		if u, err := url.Parse(t.Endpoint); err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			doc.Report("trace.endpoint", `an HTTP URL, such as "http://10.0.0.9:4318"`)
		}
	default:
		doc.Report("trace.exporter", "none, stdout or otlp")
	}
}

func (s *clientSettings) files() rpc.TLSFiles {
	return rpc.TLSFiles{Cert: s.TLS.Cert, Key: s.TLS.Key, CA: s.TLS.CA}
}

func (a *app) settingsCommand() *cobra.Command {
	check := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file of the daemon and report every problem",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			s, err := settings.Load(args[0])
			if err != nil {
				return err
			}
			return a.print(checkResult{File: args[0], Valid: true, Name: s.Name}, func(t *table) {
				t.row("FILE", "NAME", "RESULT")
				t.row(args[0], s.Name, "valid")
			})
		},
	}
	return commandGroup("settings", "Check settings files of the daemon", check)
}

// checkResult is the output of a successful check.
type checkResult struct {
	File  string `json:"file"`
	Name  string `json:"name,omitempty"`
	Valid bool   `json:"valid"`
}
