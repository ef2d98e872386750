package config_test

import (
	"testing"

	"github.com/greengagelock/greengagelock/internal/testseed"
)

func TestConfig(t *testing.T) { testseed.RunSpecs(t, "configuration") }
