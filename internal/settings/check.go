package settings

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"net/netip"
	"net/url"
	"slices"
	"strings"

	"github.com/greengagelock/greengagelock/internal/jsonc"
	"github.com/greengagelock/greengagelock/internal/model"
)

// identityScheme is the scheme of the URI in a certificate that names its holder, greengagelock://ROLE/NAME.
const identityScheme = "greengagelock"

// memberCounts are the permitted numbers of members of the replicated log. They are odd, because an even number
// is more likely to lose its majority than the next smaller odd one.
var memberCounts = []int{3, 5, 7}

// minMemoryLimit, in bytes, is enough for the views and chains of the largest fleet. Below it the garbage
// collector would run all the time.
const minMemoryLimit = 16 << 20

// checker validates what the types of the settings cannot express. Its methods report problems to the Document.
type checker struct {
	*jsonc.Document
	s        *Settings
	readFile FileReader
	// usedBy maps an address or device, such as "udp 10.0.0.1:7400", to the path of the setting that names it.
	usedBy map[string]string
}

func (c *checker) check() {
	c.usedBy = map[string]string{}
	c.name("name", c.s.Name)
	c.name("vm", string(c.s.VM))
	c.name("zone", string(c.s.Zone))
	c.roles()
	if c.valid("balancer") {
		c.balancer(c.s.Balancer)
	}
	if c.valid("agent") {
		c.agent(c.s.Agent)
	}
	if c.valid("controller") {
		c.controller(c.s.Controller)
	}
	c.controllers()
	c.identitiesAndFleetKey()
	c.telemetry()
	if c.valid("memory_limit") && c.s.MemoryLimit < minMemoryLimit {
		c.Report("memory_limit", "at least 16MiB")
	}
	if c.valid("shutdown_timeout") && c.s.ShutdownTimeout == 0 {
		c.Report("shutdown_timeout", "a duration above 0")
	}
}

// valid reports whether the document has a value at the path and no problem with it was found, so that the
// settings hold the value.
func (c *checker) valid(path string) bool {
	return c.Has(path) && !c.HasProblem(path)
}

// require reports a missing value. It returns whether there is a valid one.
func (c *checker) require(path, expected string) bool {
	if !c.Has(path) {
		c.Report(path, "%s", expected)
	}
	return c.valid(path)
}

func (c *checker) name(path, value string) {
	if c.require(path, "a name") && (value == "" || strings.ContainsAny(value, " \t\n/")) {
		c.Report(path, "a name without spaces and slashes")
	}
}

func (c *checker) roles() {
	if !c.require("roles", "at least one of the roles balancer, agent and controller") {
		return
	}
	if len(c.s.Roles) == 0 {
		c.Report("roles", "at least one of the roles balancer, agent and controller")
	}
	for i, role := range c.s.Roles {
		path := jsonc.Index("roles", i)
		switch {
		case role != model.RoleBalancer && role != model.RoleAgent && role != model.RoleController:
			c.Report(path, "balancer, agent or controller")
		case slices.Index(c.s.Roles, role) < i:
			c.Report(path, "each role once")
		}
	}
	for _, role := range []model.Role{model.RoleBalancer, model.RoleAgent, model.RoleController} {
		section := string(role)
		switch {
		case c.s.HasRole(role) && !c.Has(section):
			c.Report(section, "the settings of role %s", role)
		case !c.s.HasRole(role) && c.Has(section):
			c.Report(section, "no such section, because roles does not contain %s", role)
		}
	}
}

func (c *checker) balancer(b *Balancer) {
	c.packetConnection("balancer.ingress", b.Ingress, false)
	c.listen("balancer.egress", "udp", b.Egress)
	c.peerAddress("balancer.egress", b.Egress)
}

func (c *checker) agent(a *Agent) {
	c.listen("agent.data", "udp", a.Data)
	c.peerAddress("agent.data", a.Data)
	c.packetConnection("agent.target", a.Target, true)
	c.packetConnection("agent.gateway", a.Gateway, true)
	c.services(a.Services)
	c.positive("agent.slots", a.Slots)
	c.positive("agent.connections", a.Connections)
	c.url("agent.health_url", a.HealthURL)
	c.url("agent.load_url", a.LoadURL)
}

func (c *checker) services(services []string) {
	if c.require("agent.services", "at least one service") && len(services) == 0 {
		c.Report("agent.services", "at least one service")
	}
	for i, service := range services {
		path := jsonc.Index("agent.services", i)
		c.name(path, service)
		if slices.Index(services, service) < i {
			c.Report(path, "each service once")
		}
	}
}

func (c *checker) positive(path string, value int) {
	if c.require(path, "a whole number, at least 1") && value < 1 {
		c.Report(path, "a whole number, at least 1")
	}
}

func (c *checker) url(path, value string) {
	const expected = `an HTTP URL with an IP address, such as "http://127.0.0.1:8080/health"`
	if !c.require(path, expected) {
		return
	}
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" {
		c.Report(path, expected)
		return
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		c.Report(path, expected)
	}
}

func (c *checker) packetConnection(path string, p PacketConnection, needsPeer bool) {
	kind := jsonc.Key(path, "kind")
	if !c.require(kind, `"udp" or "tun"`) {
		return
	}
	switch p.Kind {
	case KindUDP:
		c.listen(jsonc.Key(path, "listen"), "udp", p.Listen)
		peer := jsonc.Key(path, "peer")
		if needsPeer && c.require(peer, "the address that packets go to") {
			c.peerAddress(peer, p.Peer)
		}
		c.forbid(jsonc.Key(path, "device"), p.Kind)
	case KindTUN:
		c.name(jsonc.Key(path, "device"), p.Device)
		c.unused(jsonc.Key(path, "device"), "tun "+p.Device, "device")
		c.forbid(jsonc.Key(path, "listen"), p.Kind)
		c.forbid(jsonc.Key(path, "peer"), p.Kind)
	default:
		c.Report(kind, `"udp" or "tun"`)
	}
}

func (c *checker) forbid(path, kind string) {
	if c.Has(path) {
		c.Report(path, "no such key for a port of kind %s", kind)
	}
}

func (c *checker) controller(s *Controller) {
	c.listen("controller.listen", "tcp", s.Listen)
	c.require("controller.data_dir", "the folder of the replicated log")
	if !c.require("controller.members", "the controllers of the replicated log, this one included") {
		return
	}
	if !slices.Contains(memberCounts, len(s.Members)) {
		c.Report("controller.members", "3, 5 or 7 members")
	}
	c.peers("controller.members", s.Members)
	if !slices.ContainsFunc(s.Members, func(p Peer) bool { return p.Name == s.Name }) {
		c.Report("controller.members", "a member with the name of this process, %q", s.Name)
	}
}

// controllers checks that balancers and agents know a controller.
func (c *checker) controllers() {
	c.peers("controllers", c.s.Controllers)
	isNode := c.s.HasRole(model.RoleBalancer) || c.s.HasRole(model.RoleAgent)
	if isNode && !c.HasProblem("controllers") && len(c.s.Controllers) == 0 {
		c.Report("controllers", "at least one controller, because balancers and agents get their state from them")
	}
}

func (c *checker) peers(path string, peers []Peer) {
	names, addresses := map[string]bool{}, map[netip.AddrPort]bool{}
	for i, p := range peers {
		name, address := jsonc.Key(jsonc.Index(path, i), "name"), jsonc.Key(jsonc.Index(path, i), "address")
		c.name(name, p.Name)
		if p.Name != "" && names[p.Name] {
			c.Report(name, "each name once")
		}
		names[p.Name] = true
		if c.require(address, "the address of the controller") {
			c.peerAddress(address, p.Address)
			if addresses[p.Address] {
				c.Report(address, "each address once")
			}
		}
		addresses[p.Address] = true
	}
}

// listen checks an address that this process listens on.
func (c *checker) listen(path, protocol string, addr netip.AddrPort) {
	if !c.require(path, "the address to listen on") {
		return
	}
	if !addr.Addr().Unmap().Is4() || addr.Port() == 0 {
		c.Report(path, "an IPv4 address and a port above 0")
		return
	}
	c.unused(path, protocol+" "+addr.String(), "address")
}

// unused checks that no other setting of this process names the same address or device; noun says which it is.
func (c *checker) unused(path, key, noun string) {
	if other, taken := c.usedBy[key]; taken && c.valid(path) {
		c.Report(path, "another %s than %s", noun, other)
		return
	}
	c.usedBy[key] = path
}

// peerAddress checks an address that packets or calls are sent to.
func (c *checker) peerAddress(path string, addr netip.AddrPort) {
	if c.valid(path) && (!addr.Addr().Unmap().Is4() || addr.Addr().IsUnspecified() || addr.Port() == 0) {
		c.Report(path, "the IPv4 address of one VM and a port above 0")
	}
}

func (c *checker) identitiesAndFleetKey() {
	for _, role := range []model.Role{model.RoleBalancer, model.RoleAgent, model.RoleController} {
		if identity := c.s.identities()[role]; identity != nil {
			c.identity(role, identity)
		}
	}
	c.fleetKey()
}

// identity checks the name and certificate of a role, whether set for the role or for the process.
func (c *checker) identity(role model.Role, identity *Identity) {
	if path := jsonc.Key(string(role), "name"); c.Has(path) {
		c.name(path, identity.Name)
	}
	if role == model.RoleAgent && c.s.Balancer != nil && c.s.Balancer.Name == identity.Name && identity.Name != "" {
		c.Report(jsonc.Key(string(role), "name"), "another name than that of the balancer, because control knows nodes by name")
	}
	path := jsonc.Key(string(role), "tls")
	if !c.Has(path) {
		path = "tls"
	}
	c.certificate(path, role, identity)
	ca := jsonc.Key(path, "ca")
	text := c.file(ca, identity.TLS.CA, "the file of the certificates that sign those of peers")
	if text != nil && !x509.NewCertPool().AppendCertsFromPEM(text) {
		c.Report(ca, "certificates in PEM")
	}
}

func (c *checker) certificate(path string, role model.Role, identity *Identity) {
	cert := c.file(jsonc.Key(path, "cert"), identity.TLS.Cert, "the file of the certificate of this process")
	key := c.file(jsonc.Key(path, "key"), identity.TLS.Key, "the file of the key of this process")
	if cert == nil || key == nil {
		return
	}
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil {
		c.Report(jsonc.Key(path, "cert"), "a certificate in PEM for the key")
		return
	}
	var found []string
	for _, uri := range pair.Leaf.URIs {
		if uri.Scheme == identityScheme {
			found = append(found, uri.String())
		}
	}
	want := identityScheme + "://" + string(role) + "/" + identity.Name
	if identity.Name != "" && !slices.Equal(found, []string{want}) {
		c.Report(jsonc.Key(path, "cert"), "a certificate with the URI %s (it has %q); each role can have its own name and tls", want, found)
	}
}

func (c *checker) fleetKey() {
	if !c.s.HasRole(model.RoleBalancer) && !c.s.HasRole(model.RoleAgent) && !c.Has("fleet_key_file") {
		return
	}
	text := c.file("fleet_key_file", c.s.FleetKeyFile, "the file of the key that authenticates packets")
	if text == nil {
		return
	}
	decoded, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil || len(decoded) != len(c.s.FleetKey) {
		c.Report("fleet_key_file", "a file with %d hexadecimal digits", 2*len(c.s.FleetKey))
		return
	}
	copy(c.s.FleetKey[:], decoded)
}

// file returns the content of a file. If the file cannot be read, it reports that and returns nil. Roles may
// share a file; a problem with it is reported once.
func (c *checker) file(path, file, expected string) []byte {
	if c.HasProblem(path) || !c.require(path, expected) {
		return nil
	}
	data, err := c.readFile(file)
	if err != nil {
		c.Report(path, "a file that can be read (%v)", err)
		return nil
	}
	return append([]byte{}, data...)
}

func (c *checker) telemetry() {
	t := c.s.Telemetry
	if c.Has("telemetry.listen") {
		c.listen("telemetry.listen", "tcp", t.Listen)
	}
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, t.LogLevel) {
		c.Report("telemetry.log_level", "debug, info, warn or error")
	}
	switch t.Trace.Exporter {
	case "none", "stdout":
	case "otlp":
		c.url("telemetry.trace.endpoint", t.Trace.Endpoint)
	default:
		c.Report("telemetry.trace.exporter", "none, stdout or otlp")
	}
	if t.Trace.SampleRatio < 0 || t.Trace.SampleRatio > 1 {
		c.Report("telemetry.trace.sample_ratio", "a number from 0 to 1")
	}
}
