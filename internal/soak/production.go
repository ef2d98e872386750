package soak

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"

	"github.com/cockroachdb/errors"
)

var productionLine = regexp.MustCompile(`(?m)^production *= *"([0-9a-f]{40})"`)

// BuildProduction builds the daemon of the production build from the history of a repository into a folder and returns
// its path. deploy/system.toml names the commit.
func BuildProduction(ctx context.Context, repository, folder string) (string, error) {
	deploy, err := os.ReadFile(filepath.Join(repository, "deploy", "system.toml"))
	if err != nil {
		return "", errors.Wrap(err, "read the deploy file")
	}
	match := productionLine.FindSubmatch(deploy)
	if match == nil {
		return "", errors.New("deploy/system.toml names no production commit")
	}
	source, binary := filepath.Join(folder, "production"), filepath.Join(folder, "greengagelockd-production")
	if err := os.MkdirAll(source, 0o700); err != nil {
		return "", errors.Wrap(err, "create a folder for the production build")
	}
	archive := filepath.Join(folder, "production.tar")
	for _, c := range []struct {
		dir  string
		args []string
	}{
		{repository, []string{"git", "archive", "--output", archive, string(match[1])}},
		{source, []string{"tar", "--extract", "--file", archive}},
		{source, []string{"go", "build", "-o", binary, "./cmd/greengagelockd"}},
	} {
		command := exec.CommandContext(ctx, c.args[0], c.args[1:]...)
		command.Dir = c.dir
		if out, err := command.CombinedOutput(); err != nil {
			return "", errors.Wrapf(err, "build the production commit %s: %v: %s", match[1], c.args, out)
		}
	}
	return binary, nil
}
