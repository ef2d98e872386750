package testkit

import (
	"bytes"
	"encoding/gob"
	"encoding/hex"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var writeGolden = flag.Bool("write-golden", false, "write the golden bytes; only in a checkout of the build that they stand for")

// GoldenBuild is the build that has written the golden bytes: the production commit of deploy/system.toml.
const GoldenBuild = "31152b4"

// Golden returns the bytes that GoldenBuild wrote for a message or a file, and fails the test unless encoded, what this
// build writes, is equal to them. They are kept in hexadecimal under testdata of the package.
func Golden(t testing.TB, name string, encoded []byte) []byte {
	t.Helper()
	golden := readGolden(t, name, encoded)
	if !bytes.Equal(golden, encoded) {
		t.Errorf("%s: this build writes\n%x\n%s wrote\n%x", name, encoded, GoldenBuild, golden)
	}
	return golden
}

// GoldenGob decodes a value that GoldenBuild wrote in gob into a new value of its type, and returns that. The bytes are not
// compared, because they also depend on which types a process has encoded before.
func GoldenGob[T any](t testing.TB, name string, value *T) *T {
	t.Helper()
	var b bytes.Buffer
	Check(t, gob.NewEncoder(&b).Encode(value))
	decoded := new(T)
	Check(t, gob.NewDecoder(bytes.NewReader(readGolden(t, name, b.Bytes()))).Decode(decoded))
	return decoded
}

// readGolden returns the bytes in a file under testdata, which it writes first if the flag asks for that.
func readGolden(t testing.TB, name string, encoded []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", GoldenBuild, name+".hex")
	if *writeGolden {
		Check(t, os.MkdirAll(filepath.Dir(path), 0o755))
		Check(t, os.WriteFile(path, []byte(hex.EncodeToString(encoded)+"\n"), 0o644))
	}
	text, err := os.ReadFile(path)
	Check(t, err)
	golden, err := hex.DecodeString(strings.TrimSpace(string(text)))
	Check(t, err)
	return golden
}
