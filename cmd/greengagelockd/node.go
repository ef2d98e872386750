package main

import (
	"net/http"
	"net/netip"

	"github.com/phuslu/log"
	"github.com/spf13/cobra"

	"github.com/greengagelock/greengagelock/internal/confstore"
	"github.com/greengagelock/greengagelock/internal/process"
	"github.com/greengagelock/greengagelock/internal/relay"
	"github.com/greengagelock/greengagelock/platform"
)

// nodeCommand returns the command that runs a process of the datagram data path.
func nodeCommand() *cobra.Command {
	path := ""
	command := &cobra.Command{
		Use:   "node --settings FILE",
		Short: "Run an entry VM, a relay or a controller of the datagram data path",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return process.Run(command.Context(), path, platformProtocol())
		},
	}
	command.Flags().StringVar(&path, "settings", "", "settings file of this process")
	if err := command.MarkFlagRequired("settings"); err != nil {
		panic(err) // the flag is defined above
	}
	return command
}

// platformProtocol connects package process to the codec, configuration format and HTTP calls of package
// platform.
func platformProtocol() process.Protocol {
	return process.Protocol{
		Codec: platform.Codec{}, ParseConfig: platform.ParseConfig, CheckConfig: platform.ConfigVersion,
		Operators: func(s *confstore.Controller, logger *log.Logger) http.Handler {
			return platform.OperatorCalls(s, logger)
		},
		TargetCalls: func(r *relay.Process, at netip.AddrPort, logger *log.Logger) http.Handler {
			return platform.TargetCalls(r, at, logger)
		},
		ReadinessFor: platform.Readiness,
	}
}
