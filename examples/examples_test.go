package examples_test

import (
	"crypto/ed25519"
	"crypto/x509"
	"encoding/pem"
	"io/fs"
	"math/big"
	"net/netip"
	"net/url"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/greengagelock/greengagelock/examples"
	"github.com/greengagelock/greengagelock/internal/config"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/settings"
	"github.com/greengagelock/greengagelock/internal/testseed"
)

func TestExamples(t *testing.T) { testseed.RunSpecs(t, "examples") }

var _ = Describe("the example settings", func() {
	// Example settings must be valid and together form the deployment of the example: no telemetry address
	// twice, and the right number of zones, roles and agents for each service.
	DescribeTable("form a deployment",
		func(deployment string, agents map[string]int, slots int) {
			got, zones := map[string]int{}, map[model.AvailabilityZone]bool{}
			roles, addresses := map[model.Role]int{}, map[netip.AddrPort]bool{}
			for _, path := range settingsOf(deployment) {
				s := parse(path)
				zones[s.Zone] = true
				for _, role := range s.Roles {
					roles[role]++
				}
				Expect(addresses).NotTo(HaveKey(s.Telemetry.Listen), path)
				addresses[s.Telemetry.Listen] = true
				if s.Agent == nil {
					continue
				}
				Expect(s.Agent.Slots).To(Equal(slots), path)
				for _, service := range s.Agent.Services {
					got[service]++
				}
			}
			Expect(got).To(Equal(agents))
			Expect(zones).To(HaveLen(4))
			Expect(roles[model.RoleController]).To(Equal(3))
			Expect(roles[model.RoleBalancer]).To(Equal(4))
		},
		Entry(nil, examples.MigracionesAndinas, map[string]int{"execution-progress": 7, "execution-apply": 7, "plan-store": 4}, 2),
		Entry(nil, examples.BaenatimiLabs, map[string]int{"notice-stream": 7, "timetable-edit": 7, "calendar": 4}, 5),
	)

	// An example configuration must be valid, and each service must select exactly the VMs whose agents
	// offer it.
	DescribeTable("match the configuration",
		func(deployment string) {
			text, err := examples.Configuration(deployment)
			Expect(err).NotTo(HaveOccurred())
			document, err := config.Parse(deployment, text)
			Expect(err).NotTo(HaveOccurred())
			selected, offered := map[string][]string{}, map[string][]string{}
			for i := range document.Services {
				for j := range document.VMs {
					if document.Services[i].Selects(&document.VMs[j]) {
						name := document.Services[i].Name
						selected[name] = append(selected[name], string(document.VMs[j].Name))
					}
				}
			}
			for _, path := range settingsOf(deployment) {
				if s := parse(path); s.Agent != nil {
					for _, service := range s.Agent.Services {
						offered[service] = append(offered[service], string(s.VM))
					}
				}
			}
			Expect(offered).To(HaveLen(len(selected)))
			for service, vms := range selected {
				Expect(offered[service]).To(ConsistOf(vms), service)
			}
		},
		Entry(nil, examples.MigracionesAndinas),
		Entry(nil, examples.BaenatimiLabs),
		Entry(nil, examples.Single),
	)

	// The first process of the single-VM example must have every role, and all three the same members.
	It("run every role in one process", func() {
		s := parse(examples.Single + "/single-1.json")
		Expect(s.Roles).To(ConsistOf(model.RoleBalancer, model.RoleAgent, model.RoleController))
		for _, path := range []string{"/single-2.json", "/single-3.json"} {
			Expect(parse(examples.Single + path).Controller.Members).To(Equal(s.Controller.Members))
		}
	})
})

func settingsOf(deployment string) []string {
	paths, err := fs.Glob(examples.Files, deployment+"/settings/*.json")
	Expect(err).NotTo(HaveOccurred())
	if deployment == examples.Single {
		paths, err = fs.Glob(examples.Files, deployment+"/single-*.json")
		Expect(err).NotTo(HaveOccurred())
	}
	return paths
}

// parse parses settings as the daemon does, with generated contents for the files that exist on VMs only.
func parse(path string) *settings.Settings {
	GinkgoHelper()
	data, err := examples.Files.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	s, err := settings.Parse(path, data, func(file string) ([]byte, error) {
		name := filepath.Base(file)
		if name == "fleet.key" {
			return []byte(strings.Repeat("0", 32)), nil
		}
		// The files of the single-VM example have the names that greengagelockctl trial certs gives them.
		role, rest, _ := strings.Cut(strings.TrimSuffix(name, filepath.Ext(name)), "-")
		if strings.HasPrefix(rest, "single-") {
			return certificateAndKey(role + "/" + rest), nil
		}
		return certificateAndKey(identityOf(path)), nil
	})
	Expect(err).NotTo(HaveOccurred(), path)
	return s
}

// identityOf returns the role and the name that the certificate of a settings file needs.
func identityOf(path string) string {
	name := strings.TrimSuffix(filepath.Base(path), ".json")
	switch prefix, _, _ := strings.Cut(name, "-"); prefix {
	case "control", "single": // the ca.pem of the latter may hold any certificate
		return "controller/" + name
	case "entry":
		return "balancer/" + name
	default:
		return "agent/" + name
	}
}

var public, private, _ = ed25519.GenerateKey(nil)

// certificateAndKey returns a self-signed certificate for an identity, followed by its key, as PEM.
func certificateAndKey(identity string) []byte {
	GinkgoHelper()
	uri, err := url.Parse("greengagelock://" + identity)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{SerialNumber: big.NewInt(1), URIs: []*url.URL{uri}}
	cert, err := x509.CreateCertificate(nil, template, template, public, private)
	Expect(err).NotTo(HaveOccurred())
	key, err := x509.MarshalPKCS8PrivateKey(private)
	Expect(err).NotTo(HaveOccurred())
	return slices.Concat(
		pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert}),
		pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: key}),
	)
}
