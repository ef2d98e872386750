package settings_test

import (
	"crypto/ed25519"
	"crypto/x509"
	"encoding/pem"
	"io/fs"
	"math/big"
	"net/netip"
	"net/url"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/settings"
	"github.com/greengagelock/greengagelock/internal/testseed"
)

func TestSettings(t *testing.T) { testseed.RunSpecs(t, "settings") }

// completeSettings has about one setting per line, so that a table entry can replace one and state its line.
const completeSettings = `{
	"name": "exec-1",
	"vm": "exec-1",
	"zone": "bogota-a",
	"roles": ["balancer", "agent", "controller"],
	"balancer": {
		"ingress": {"kind": "udp", "listen": "10.0.0.1:7400"},
		"egress": "10.0.0.1:7401", "name": "exec-1-b", "tls": {"cert": "b.pem", "key": "key.pem", "ca": "cert.pem"},
	},
	"agent": {
		"data": "10.0.0.1:7402",
		"target": {"kind": "tun", "device": "gg0"},
		"gateway": {"kind": "udp", "listen": "10.0.0.1:7403", "peer": "10.0.0.254:7400"},
		"services": ["progress", "apply"], "slots": 2, "connections": 2000,
		"health_url": "http://127.0.0.1:8080/health",
		"load_url": "http://127.0.0.1:8080/load", "name": "exec-1-a", "tls": {"cert": "a.pem", "key": "key.pem", "ca": "cert.pem"},
	},
	"controller": {
		"listen": "10.0.0.1:7500",
		"data_dir": "data",
		"members": [{"name": "exec-1", "address": "10.0.0.1:7500"}, {"name": "b", "address": "10.0.0.2:7500"}, {"name": "c", "address": "10.0.0.3:7500"}],
	},
	"controllers": [{"name": "exec-1", "address": "10.0.0.1:7500"}],
	"tls": {"cert": "cert.pem", "key": "key.pem", "ca": "cert.pem"},
	"fleet_key_file": "fleet.key",
	"telemetry": {"listen": "127.0.0.1:9100", "trace": {"exporter": "otlp", "endpoint": "http://10.0.0.9:4318"}},
	"shutdown_timeout": "10s",
}`

var testFiles = map[string][]byte{
	"/etc/gg/fleet.key": []byte("000102030405060708090a0b0c0d0e0f\n"),
	"/etc/gg/short.key": []byte("0001\n"),
}

func readTestFile(path string) ([]byte, error) {
	if data, ok := testFiles[path]; ok {
		return data, nil
	}
	return nil, fs.ErrNotExist
}

var _ = Describe("Parse", func() {
	BeforeEach(func() {
		if testFiles["/etc/gg/key.pem"] == nil {
			makeCertificates(map[string]string{
				"cert.pem": "controller/exec-1", "b.pem": "balancer/exec-1-b", "a.pem": "agent/exec-1-a",
			})
		}
	})

	// Guards against settings that are decoded into the wrong field, and against lost defaults.
	It("reads a complete file", func() {
		s, err := settings.Parse("/etc/gg/s.json", []byte(completeSettings), readTestFile)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Agent.Services).To(Equal([]string{"progress", "apply"}))
		Expect(s.Agent.Slots).To(Equal(2))
		Expect(s.Balancer.Ingress.Listen).To(Equal(netip.MustParseAddrPort("10.0.0.1:7400")))
		Expect(s.Controller.DataDir).To(Equal("/etc/gg/data"))
		Expect(s.FleetKey).To(Equal(encap.Key{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15}))
		Expect(time.Duration(s.ShutdownTimeout)).To(Equal(10 * time.Second))
		Expect(s.Telemetry.LogLevel).To(Equal("info"))
		Expect(s.Telemetry.Trace.SampleRatio).To(Equal(0.001))
	})

	// Guards against a mistake that is accepted, is reported at the wrong position, or hides others.
	DescribeTable("reports a mistake",
		func(from, to string, want ...string) {
			Expect(completeSettings).To(ContainSubstring(from))
			_, err := settings.Parse("/etc/gg/s.json", []byte(strings.Replace(completeSettings, from, to, 1)), readTestFile)
			Expect(result.CodeOf(err)).To(Equal(result.SettingsInvalid))
			for i := range want {
				want[i] = "/etc/gg/s.json:" + want[i]
			}
			message := strings.TrimPrefix(err.Error(), "GGL-1001: ")
			Expect(strings.Split(message, "\n")).To(Equal(want))
		},
		Entry("unknown key", `"vm": "exec-1",`, `"vm": "exec-1", "pool": 1,`,
			`3:18: pool: found "pool", expected one of the keys agent, balancer, controller, controllers, fleet_key_file, `+
				`memory_limit, name, roles, shutdown_timeout, telemetry, tls, vm, zone`),
		Entry("missing name", `"name": "exec-1",`+"\n", "\n", `1:1: name: expected a name`,
			`21:14: controller.members: found [{"name": "exec-1", "address": "10.0.0.1:7500"}, {"name": "b", "address": "10.0...., `+
				`expected a member with the name of this process, ""`),
		Entry("name with a space", `"vm": "exec-1"`, `"vm": "exec 1"`,
			`3:8: vm: found "exec 1", expected a name without spaces and slashes`),
		Entry("unknown role", `"agent", "controller"]`, `"agent", "controller", "proxy"]`,
			`5:47: roles[3]: found "proxy", expected balancer, agent or controller`),
		Entry("role without section", `"roles": ["balancer", "agent", "controller"]`,
			`"roles": ["balancer", "agent", "agent"]`,
			`5:33: roles[2]: found "agent", expected each role once`,
			`18:16: controller: found { "listen": "10.0.0.1:7500", "data_dir": "data", "members": [{"name": "exec-1", ..., `+
				`expected no such section, because roles does not contain controller`),
		Entry("unit missing", `"10s"`, `10`,
			`27:22: shutdown_timeout: found 10, expected a duration with its unit, such as "500ms", "30s" or "5m"`),
		Entry("unit unknown", `"10s"`, `"10sec"`,
			`27:22: shutdown_timeout: found "10sec", expected a duration with its unit, such as "500ms", "30s" or "5m"`),
		Entry("memory limit too small", `"shutdown_timeout": "10s"`, `"shutdown_timeout": "10s", "memory_limit": "1MiB"`,
			`27:45: memory_limit: found "1MiB", expected at least 16MiB`),
		Entry("zero timeout", `"10s"`, `"0s"`, `27:22: shutdown_timeout: found "0s", expected a duration above 0`),
		Entry("duplicate address", `"data": "10.0.0.1:7402"`, `"data": "10.0.0.1:7400"`,
			`11:11: agent.data: found "10.0.0.1:7400", expected another address than balancer.ingress.listen`),
		Entry("unspecified announced address", `"10.0.0.1:7402"`, `"0.0.0.0:7402"`,
			`11:11: agent.data: found "0.0.0.0:7402", expected the IPv4 address of one VM and a port above 0`),
		Entry("host name", `"10.0.0.254:7400"`, `"gateway:7400"`,
			`13:65: agent.gateway.peer: found "gateway:7400", expected an IP address and port, such as "10.0.1.5:7400"`),
		Entry("unknown port kind", `{"kind": "tun", "device": "gg0"}`, `{"kind": "raw"}`,
			`12:22: agent.target.kind: found "raw", expected "udp" or "tun"`),
		Entry("keys of another port kind", `{"kind": "tun", "device": "gg0"}`, `{"kind": "udp", "device": "gg0"}`,
			`12:13: agent.target.listen: expected the address to listen on`,
			`12:13: agent.target.peer: expected the address that packets go to`,
			`12:39: agent.target.device: found "gg0", expected no such key for a port of kind udp`),
		Entry("device twice", `{"kind": "udp", "listen": "10.0.0.1:7403", "peer": "10.0.0.254:7400"}`, `{"kind": "tun", "device": "gg0"}`,
			`13:40: agent.gateway.device: found "gg0", expected another device than agent.target.device`),
		Entry("no slots", `"slots": 2`, `"slots": 0`,
			`14:47: agent.slots: found 0, expected a whole number, at least 1`),
		Entry("service twice", `["progress", "apply"]`, `["apply", "apply"]`,
			`14:25: agent.services[1]: found "apply", expected each service once`),
		Entry("URL with a host name", `"http://127.0.0.1:8080/load"`, `"http://localhost:8080/load"`,
			`16:15: agent.load_url: found "http://localhost:8080/load", `+
				`expected an HTTP URL with an IP address, such as "http://127.0.0.1:8080/health"`),
		Entry("agent without controllers", `"controllers": [{"name": "exec-1", "address": "10.0.0.1:7500"}],`, "",
			`1:1: controllers: expected at least one controller, because balancers and agents get their state from them`),
		Entry("two controllers", `, {"name": "c", "address": "10.0.0.3:7500"}]`, `]`,
			`21:14: controller.members: found [{"name": "exec-1", "address": "10.0.0.1:7500"}, {"name": "b", "address": "10.0...., `+
				`expected 3, 5 or 7 members`),
		Entry("controller twice", `"controllers": [`, `"controllers": [{"name": "exec-1", "address": "10.0.0.1:7500"}, `,
			`23:75: controllers[1].name: found "exec-1", expected each name once`,
			`23:96: controllers[1].address: found "10.0.0.1:7500", expected each address once`),
		Entry("missing key file", `{"cert": "cert.pem", "key": "key.pem"`, `{"cert": "cert.pem", "key": "none.pem"`,
			`24:37: tls.key: found "none.pem", expected a file that can be read (file does not exist)`),
		Entry("certificate for another role", `"cert": "a.pem"`, `"cert": "b.pem"`,
			`16:81: agent.tls.cert: found "b.pem", expected a certificate with the URI greengagelock://agent/exec-1-a `+
				`(it has ["greengagelock://balancer/exec-1-b"]); each role can have its own name and tls`),
		Entry("balancer and agent with the same name", `"name": "exec-1-a"`, `"name": "exec-1-b"`,
			`16:53: agent.name: found "exec-1-b", expected another name than that of the balancer, because control knows nodes by name`,
			`16:81: agent.tls.cert: found "a.pem", expected a certificate with the URI greengagelock://agent/exec-1-b `+
				`(it has ["greengagelock://agent/exec-1-a"]); each role can have its own name and tls`),
		Entry("CA file without certificates", `"ca": "cert.pem"},`+"\n\t\"fleet", `"ca": "fleet.key"},`+"\n\t\"fleet",
			`24:54: tls.ca: found "fleet.key", expected certificates in PEM`),
		Entry("key of another length", `"fleet.key"`, `"short.key"`,
			`25:20: fleet_key_file: found "short.key", expected a file with 32 hexadecimal digits`),
		Entry("unknown exporter", `"otlp"`, `"zipkin"`,
			`26:66: telemetry.trace.exporter: found "zipkin", expected none, stdout or otlp`),
		Entry("sample ratio above 1", `"exporter": "otlp"`, `"sample_ratio": 2, "exporter": "otlp"`,
			`26:70: telemetry.trace.sample_ratio: found 2, expected a number from 0 to 1`),
		Entry("not JSON", `"zone": "bogota-a",`, `"zone" "bogota-a",`,
			`4:9: expected JSON with comments (invalid character '"' after object name)`),
	)

	// Guards against a process that ends without a result code because its settings file cannot be read.
	It("reports a missing settings file", func() {
		_, err := settings.Load("/nonexistent/s.json")
		Expect(result.CodeOf(err)).To(Equal(result.SettingsInvalid))
	})
})

// makeCertificates adds a key to testFiles, and certificates for it; identities maps file names to ROLE/NAME.
func makeCertificates(identities map[string]string) {
	public, private, err := ed25519.GenerateKey(nil)
	Expect(err).NotTo(HaveOccurred())
	for name, identity := range identities {
		uri, err := url.Parse("greengagelock://" + identity)
		Expect(err).NotTo(HaveOccurred())
		template := &x509.Certificate{SerialNumber: big.NewInt(1), URIs: []*url.URL{uri}}
		der, err := x509.CreateCertificate(nil, template, template, public, private)
		Expect(err).NotTo(HaveOccurred())
		testFiles["/etc/gg/"+name] = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	}
	pkcs8, err := x509.MarshalPKCS8PrivateKey(private)
	Expect(err).NotTo(HaveOccurred())
	testFiles["/etc/gg/key.pem"] = pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: pkcs8})
}
