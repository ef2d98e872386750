package ctl

import (
	"crypto/rand"
	"encoding/hex"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/greengagelock/greengagelock/internal/devcerts"
	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/rpc"
)

// identityFiles names the files that trial certs has written for one process.
type identityFiles struct {
	Identity string       `json:"identity"`
	Files    rpc.TLSFiles `json:"files"`
}

func (a *app) trialCommand() *cobra.Command {
	certs := &cobra.Command{
		Use:   "certs DIR ROLE/NAME...",
		Short: "Write a fleet key and certificates of a new authority, valid for 7 days",
		Long: "Writes ca.pem, fleet.key and ROLE-NAME.pem and ROLE-NAME.key for every identity into DIR. The key of the\n" +
			"authority is not kept: name all processes in one call. A deployment uses its own authority.",
		Args: cobra.MinimumNArgs(2),
		RunE: func(_ *cobra.Command, args []string) error { return a.writeTrialFiles(args[0], args[1:]) },
	}
	return commandGroup("trial", "Prepare a trial on one machine", certs)
}

// writeTrialFiles writes the fleet key, the authority's certificate and the files of every identity.
func (a *app) writeTrialFiles(dir string, identities []string) error {
	roles := []model.Role{model.RoleBalancer, model.RoleAgent, model.RoleController, model.RoleOperator}
	for _, identity := range identities {
		role, name, ok := strings.Cut(identity, "/")
		if !ok || name == "" || !slices.Contains(roles, model.Role(role)) {
			return usageError{errors.Newf("identity %q: want ROLE/NAME with role balancer, agent, controller or operator", identity)}
		}
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return usageError{err}
	}
	if err := writeFleetKey(filepath.Join(dir, "fleet.key")); err != nil {
		return err
	}
	authority, err := devcerts.New(dir)
	if err != nil {
		return err
	}
	var written []identityFiles
	for _, identity := range identities {
		role, name, _ := strings.Cut(identity, "/")
		files, err := authority.Issue(model.Role(role), name)
		if err != nil {
			return err
		}
		written = append(written, identityFiles{Identity: identity, Files: files})
	}
	return a.print(written, func(t *table) {
		t.row("IDENTITY", "CERTIFICATE", "KEY")
		for _, w := range written {
			t.row(w.Identity, w.Files.Cert, w.Files.Key)
		}
	})
}

func writeFleetKey(path string) error {
	var key encap.Key
	if _, err := rand.Read(key[:]); err != nil {
		return err
	}
	return os.WriteFile(path, []byte(hex.EncodeToString(key[:])+"\n"), 0o600)
}
