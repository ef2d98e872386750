// Package testkit has the fixtures that tests of several packages share: certificates, waiting
// for a condition, and a node without a data path.
package testkit

import (
	"sync"
	"testing"
	"time"

	"github.com/greengagelock/greengagelock/internal/devcerts"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/rpc"
)

// Patience is how long a test waits for something that must happen. It is far above the time
// that it takes, so that a busy machine does not change the verdict.
const Patience = time.Minute

// pollInterval is how often Eventually looks at its condition.
const pollInterval = 10 * time.Millisecond

// Check ends a test that got an error.
func Check(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// Authority returns a certificate authority that writes to a folder of the test.
func Authority(t testing.TB) *devcerts.Authority {
	t.Helper()
	authority, err := devcerts.New(t.TempDir())
	Check(t, err)
	return authority
}

// Issue returns the files of a new certificate.
func Issue(t testing.TB, authority *devcerts.Authority, role model.Role, name string) rpc.TLSFiles {
	t.Helper()
	files, err := authority.Issue(role, name)
	Check(t, err)
	return files
}

// Load returns the credentials in the files of a certificate.
func Load(t testing.TB, files rpc.TLSFiles) *rpc.Credentials {
	t.Helper()
	credentials, err := rpc.LoadCredentials(files)
	Check(t, err)
	return credentials
}

// Eventually waits until a condition holds.
func Eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(Patience); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not reached", what)
		}
	}
}

// Node is a node without a data path. Its lock guards its fields.
type Node struct {
	sync.Mutex
	Announced model.Announcement
	Views     []*model.View
}

// Announcement returns what the test has set.
func (n *Node) Announcement() model.Announcement {
	n.Lock()
	defer n.Unlock()
	return n.Announced
}

// ApplyView appends the view to those received.
func (n *Node) ApplyView(v *model.View) {
	n.Lock()
	defer n.Unlock()
	n.Views = append(n.Views, v)
}
