// Package testkit provides test helpers that several packages share: certificates, waiting for a
// condition, and a node without a data path.
package testkit

import (
	"sync"
	"testing"
	"time"

	"github.com/greengagelock/greengagelock/internal/devcerts"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/rpc"
)

// WaitTimeout limits the wait for something that must happen. It is far longer than that takes, so that
// the result of a test does not depend on the load of the machine.
const WaitTimeout = time.Minute

// pollInterval is the pause between two checks of a condition in Eventually.
const pollInterval = 10 * time.Millisecond

// Check fails the test at once if err is not nil.
func Check(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// NewAuthority creates a certificate authority that writes to a temporary folder of the test.
func NewAuthority(t testing.TB) *devcerts.Authority {
	t.Helper()
	authority, err := devcerts.New(t.TempDir())
	Check(t, err)
	return authority
}

// IssueCertificate issues a certificate and returns its files.
func IssueCertificate(t testing.TB, authority *devcerts.Authority, role model.Role, name string) rpc.TLSFiles {
	t.Helper()
	files, err := authority.Issue(role, name)
	Check(t, err)
	return files
}

// LoadCredentials loads the credentials from the files of a certificate.
func LoadCredentials(t testing.TB, files rpc.TLSFiles) *rpc.Credentials {
	t.Helper()
	credentials, err := rpc.LoadCredentials(files)
	Check(t, err)
	return credentials
}

// Eventually waits until a condition holds, and fails the test if it does not within WaitTimeout.
func Eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(WaitTimeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: condition not met in time", what)
		}
	}
}

// Node is a node without a data path, which records the views that it gets. Its lock guards its fields.
type Node struct {
	sync.Mutex
	Announced model.Announcement
	Views     []*model.View
}

// Announcement returns the announcement that the test has set.
func (n *Node) Announcement() model.Announcement {
	n.Lock()
	defer n.Unlock()
	return n.Announced
}

// ApplyView records a received view.
func (n *Node) ApplyView(v *model.View) {
	n.Lock()
	defer n.Unlock()
	n.Views = append(n.Views, v)
}
