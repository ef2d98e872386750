package daemon_test

import (
	"testing"

	"github.com/greengagelock/greengagelock/internal/testseed"
)

func TestDaemon(t *testing.T) { testseed.RunSpecs(t, "daemon") }
