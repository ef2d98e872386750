package docs_test

import (
	"errors"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/greengagelock/greengagelock/internal/config"
	"github.com/greengagelock/greengagelock/internal/jsonc"
	"github.com/greengagelock/greengagelock/internal/settings"
	_ "github.com/greengagelock/greengagelock/internal/testseed"
)

var inlineCode = regexp.MustCompile("`([^`]+)`")

// codeIn returns the texts that a page formats as inline code.
func codeIn(t *testing.T, page string) map[string]bool {
	t.Helper()
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	found := map[string]bool{}
	for _, match := range inlineCode.FindAllStringSubmatch(string(text), -1) {
		found[match[1]] = true
	}
	return found
}

// Guards against a key of the daemon's settings that is missing from the settings page.
func TestSettingsPageHasEveryKeyOfTheDaemon(t *testing.T) {
	page := codeIn(t, "settings.md")
	paths := settingsPaths(reflect.TypeFor[settings.Settings](), "")
	if len(paths) < 40 {
		t.Fatalf("only %d keys found: %q", len(paths), paths)
	}
	for _, path := range paths {
		if !page[path] {
			t.Errorf("settings.md lacks `%s`", path)
		}
	}
}

// settingsPaths returns the paths of all keys of a settings type. The page describes the keys of packet
// connections, TLS files and peers once each, whichever setting contains them.
func settingsPaths(t reflect.Type, prefix string) []string {
	shared := map[reflect.Type]string{
		reflect.TypeFor[settings.PacketConnection](): "port", reflect.TypeFor[settings.TLS](): "tls",
		reflect.TypeFor[settings.Peer](): "controllers[]",
	}
	var paths []string
	for _, field := range reflect.VisibleFields(t) {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if field.Anonymous || !field.IsExported() || name == "-" || name == "" {
			continue
		}
		path := prefix + name
		paths = append(paths, path)
		inner := field.Type
		for inner.Kind() == reflect.Pointer || inner.Kind() == reflect.Slice {
			inner = inner.Elem()
		}
		if at, ok := shared[inner]; ok {
			paths = append(paths, settingsPaths(inner, at+".")...)
		} else if inner.Kind() == reflect.Struct {
			paths = append(paths, settingsPaths(inner, path+".")...)
		}
	}
	return paths
}

// everyObject has an unknown key, "?", in each object of a configuration document.
const everyObject = `{
	"?": 0,
	"inventory": {"?": 0, "vms": [{"?": 0, "name": "a", "zone": "z", "workspace": "c", "labels": {}}]},
	"services": [{"?": 0, "silence": {"?": 0}}],
	"leaving": [],
	"limits": {"?": 0},
}`

// Guards against a key of the configuration document that is missing from the settings page. The keys
// are taken from the parser's messages about unknown keys, which list the known ones.
func TestSettingsPageHasEveryKeyOfTheConfiguration(t *testing.T) {
	page := codeIn(t, "settings.md")
	_, err := config.Parse("document", []byte(everyObject))
	var problems jsonc.Problems
	if !errors.As(err, &problems) {
		t.Fatalf("no problems: %v", err)
	}
	objects := 0
	for _, p := range problems {
		keys, found := strings.CutPrefix(p.Expected, "one of the keys ")
		if !found {
			continue
		}
		objects++
		prefix := strings.ReplaceAll(strings.TrimSuffix(p.Path, "?"), "[0]", "[]")
		for key := range strings.SplitSeq(keys, ", ") {
			if !page[prefix+key] {
				t.Errorf("settings.md lacks `%s`", prefix+key)
			}
		}
	}
	if want := strings.Count(everyObject, `"?"`); objects != want {
		t.Errorf("the parser names the keys of %d objects, want %d: %v", objects, want, problems)
	}
}
