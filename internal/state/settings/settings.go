// Package settings reads the settings file of one process. The file is YAML with
// kebab-case keys and is checked strictly.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/url"
	"os"
	"time"

	"go.yaml.in/yaml/v3"

	"redwinglock/internal/state/object"
)

// Settings are the settings of one process, with defaults filled in.
type Settings struct {
	// Host is the name of this entry host, unique among all.
	Host string `yaml:"host"`
	// Zone is the availability zone of this host.
	Zone object.Zone `yaml:"zone"`
	// Capacity is the processor share of this host in cores. Zero: not known.
	Capacity float64 `yaml:"capacity"`
	// MemoryMB is the memory that the host may use, in MiB. From two thirds of it on, garbage
	// is collected more often. Zero: not known.
	MemoryMB  int64     `yaml:"memory-mb"`
	Callers   Callers   `yaml:"callers"`
	Peers     Peers     `yaml:"peers"`
	Operators Operators `yaml:"operators"`
	Store     Store     `yaml:"store"`
	Hosts     Hosts     `yaml:"hosts"`
	Log       Log       `yaml:"log"`
	Stop      Stop      `yaml:"stop"`
	// Gateway is set for a host that passes requests on as they are and follows the
	// platform's store. It needs no listeners for callers and operators beside it.
	Gateway *Gateway `yaml:"gateway"`
}

// TLS names the certificate of a listener. Without one the listener speaks plain HTTP.
type TLS struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	// ClientCA holds the authorities whose client certificates are required.
	ClientCA string `yaml:"client-ca"`
}

// Callers are the settings of the listener for callers.
type Callers struct {
	Listen string `yaml:"listen"`
	// Advertise is the base URL that callers are told to use.
	Advertise string `yaml:"advertise"`
	TLS       *TLS   `yaml:"tls"`
	// MaxBodyBytes bounds a request body. Default 16 MiB.
	MaxBodyBytes int64 `yaml:"max-body-bytes"`
	// MaxHeaderBytes bounds the header of a request. Default 32 KiB.
	MaxHeaderBytes int `yaml:"max-header-bytes"`
	// ReadTimeout bounds the time to send a whole request. Default 30s.
	ReadTimeout time.Duration `yaml:"read-timeout"`
	// AddressTTL is how long callers may keep the list of addresses. Default 5s.
	AddressTTL time.Duration `yaml:"address-ttl"`
}

// Peers are the settings of the listener for other entry hosts.
type Peers struct {
	Listen    string `yaml:"listen"`
	Advertise string `yaml:"advertise"`
	TLS       *TLS   `yaml:"tls"`
	// Key is shared by all entry hosts and proves that a process is one of them.
	Key string `yaml:"key"`
	// HeartbeatInterval is the time between two rounds of heartbeats. Default 1s.
	HeartbeatInterval time.Duration `yaml:"heartbeat-interval"`
	// LinkInterval is the time between two signs of life on a link. Default 500ms.
	LinkInterval time.Duration `yaml:"link-interval"`
	// LinkTimeout is the silence after which a link is given up. Default 1500ms.
	LinkTimeout time.Duration `yaml:"link-timeout"`
	// LinkIdle is the time after which a link without requests is closed. Default 10s.
	LinkIdle time.Duration `yaml:"link-idle"`
}

// Operators are the settings of the listener for operators.
type Operators struct {
	Listen string        `yaml:"listen"`
	TLS    *TLS          `yaml:"tls"`
	Keys   []OperatorKey `yaml:"keys"`
}

// Role is what an operator may do.
type Role string

// The roles of operators.
const (
	RoleRead  Role = "read"
	RoleWrite Role = "write"
)

// OperatorKey admits one operator.
type OperatorKey struct {
	Name    string `yaml:"name"`
	Role    Role   `yaml:"role"`
	KeyHash string `yaml:"key-hash"` // Hex SHA-256 digest of the key.
}

// Store are the settings of the platform's key-value service.
type Store struct {
	Endpoints []string `yaml:"endpoints"`
	// Prefix is put before each key. Default "/redwinglock/".
	Prefix string `yaml:"prefix"`
	// Timeout bounds one call. Default 1s.
	Timeout time.Duration `yaml:"timeout"`
	// PollInterval is the time between two reads of the configuration head. Default 15s.
	PollInterval time.Duration `yaml:"poll-interval"`
	// ClaimRetention is how long an idempotency key is remembered. Default 24h.
	ClaimRetention time.Duration `yaml:"claim-retention"`
}

// Hosts are the settings of the platform's list of hosts.
type Hosts struct {
	URL string `yaml:"url"`
	// Interval is the time between two reads. Default 1s.
	Interval time.Duration `yaml:"interval"`
	// Readers is the number of hosts that read the list and pass its news on. Default 3.
	Readers int `yaml:"readers"`
}

// Log are the settings of the log.
type Log struct {
	Format string `yaml:"format"` // "text" (default) or "json".
	Level  string `yaml:"level"`  // Default "info".
}

// Stop are the settings of a planned stop.
type Stop struct {
	// Limit is the longest time for requests in flight to finish. Default 15m.
	Limit time.Duration `yaml:"limit"`
}

// Load reads and checks a settings file. It reports all faults at once, each with
// file, line and key.
func Load(file string) (*Settings, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(file, content)
}

// Parse checks the content of a settings file.
func Parse(file string, content []byte) (*Settings, error) {
	s := &Settings{}
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	decoder.KnownFields(true)
	var faults []error
	// An empty file has all its faults below.
	if err := decoder.Decode(s); err != nil && !errors.Is(err, io.EOF) {
		var typeError *yaml.TypeError
		if !errors.As(err, &typeError) {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		for _, fault := range typeError.Errors {
			faults = append(faults, fmt.Errorf("%s: %s", file, fault))
		}
	}
	s.FillIn()
	var root yaml.Node
	if err := yaml.Unmarshal(content, &root); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	c := &checker{file: file, root: &root, faults: faults}
	c.check(s)
	if err := errors.Join(c.faults...); err != nil {
		return nil, err
	}
	return s, nil
}

// FillIn sets every optional setting that is missing to its default.
func (s *Settings) FillIn() {
	setDefault(&s.Callers.MaxBodyBytes, 16<<20)
	setDefault(&s.Callers.MaxHeaderBytes, 32<<10)
	setDefault(&s.Callers.ReadTimeout, 30*time.Second)
	setDefault(&s.Callers.AddressTTL, 5*time.Second)
	setDefault(&s.Peers.HeartbeatInterval, time.Second)
	setDefault(&s.Peers.LinkInterval, 500*time.Millisecond)
	setDefault(&s.Peers.LinkTimeout, 1500*time.Millisecond)
	setDefault(&s.Peers.LinkIdle, 10*time.Second)
	setDefault(&s.Store.Prefix, "/redwinglock/")
	setDefault(&s.Store.Timeout, time.Second)
	setDefault(&s.Store.PollInterval, 15*time.Second)
	setDefault(&s.Store.ClaimRetention, 24*time.Hour)
	setDefault(&s.Hosts.Interval, time.Second)
	setDefault(&s.Hosts.Readers, 3)
	setDefault(&s.Log.Format, "text")
	setDefault(&s.Log.Level, "info")
	setDefault(&s.Stop.Limit, 15*time.Minute)
	if s.Gateway != nil {
		s.Gateway.fillIn()
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// checker collects every fault of a settings file.
type checker struct {
	file   string
	root   *yaml.Node
	faults []error
}

func (c *checker) check(s *Settings) {
	c.require(s.Host, "host")
	c.require(string(s.Zone), "zone")
	if s.Capacity < 0 {
		c.fault("is negative", "capacity")
	}
	if s.MemoryMB < 0 {
		c.fault("is negative", "memory-mb")
	}
	c.checkCommon(s)
	if s.Gateway != nil {
		c.checkGateway(s.Gateway)
		return
	}
	c.checkListener(s.Callers.Listen, s.Callers.TLS, "callers")
	c.checkURL(s.Callers.Advertise, "callers", "advertise")
	c.checkListener(s.Operators.Listen, s.Operators.TLS, "operators")
	for _, key := range s.Operators.Keys {
		if key.Name == "" || len(key.KeyHash) != 64 || (key.Role != RoleRead && key.Role != RoleWrite) {
			c.fault("needs name, role (read or write) and key-hash (hex SHA-256)", "operators", "keys")
		}
	}
	if len(s.Store.Endpoints) == 0 {
		c.fault("at least one endpoint is needed", "store", "endpoints")
	}
	for _, endpoint := range s.Store.Endpoints {
		c.checkURL(endpoint, "store", "endpoints")
	}
	c.checkURL(s.Hosts.URL, "hosts", "url")
}

// checkCommon checks what every kind of host needs.
func (c *checker) checkCommon(s *Settings) {
	c.checkListener(s.Peers.Listen, s.Peers.TLS, "peers")
	c.checkURL(s.Peers.Advertise, "peers", "advertise")
	c.require(s.Peers.Key, "peers", "key")
	if s.Log.Format != "text" && s.Log.Format != "json" {
		c.fault("is neither text nor json", "log", "format")
	}
	c.checkPositive(s)
}

func (c *checker) checkPositive(s *Settings) {
	spans := []struct {
		value time.Duration
		path  []string
	}{
		{s.Callers.ReadTimeout, []string{"callers", "read-timeout"}},
		{s.Callers.AddressTTL, []string{"callers", "address-ttl"}},
		{s.Peers.HeartbeatInterval, []string{"peers", "heartbeat-interval"}},
		{s.Peers.LinkInterval, []string{"peers", "link-interval"}},
		{s.Peers.LinkTimeout - 2*s.Peers.LinkInterval, []string{"peers", "link-timeout"}},
		{s.Peers.LinkIdle, []string{"peers", "link-idle"}},
		{s.Store.Timeout, []string{"store", "timeout"}},
		{s.Store.PollInterval, []string{"store", "poll-interval"}},
		{s.Store.ClaimRetention, []string{"store", "claim-retention"}},
		{s.Hosts.Interval, []string{"hosts", "interval"}},
		{s.Stop.Limit, []string{"stop", "limit"}},
	}
	for _, span := range spans {
		if span.value <= 0 {
			c.fault("is too short", span.path...)
		}
	}
	if s.Callers.MaxBodyBytes < 0 {
		c.fault("is negative", "callers", "max-body-bytes")
	}
}

func (c *checker) require(value string, path ...string) {
	if value == "" {
		c.fault("is missing", path...)
	}
}

func (c *checker) checkAddress(address string, path ...string) {
	if _, _, err := net.SplitHostPort(address); err != nil {
		c.fault(fmt.Sprintf("%q is not an address with a port", address), path...)
	}
}

func (c *checker) checkListener(address string, tls *TLS, section string) {
	c.checkAddress(address, section, "listen")
	if tls != nil && (tls.Certificate == "" || tls.Key == "") {
		c.fault("needs certificate and key", section, "tls")
	}
}

func (c *checker) checkURL(text string, path ...string) {
	parsed, err := url.Parse(text)
	if err != nil || parsed.Host == "" {
		c.fault(fmt.Sprintf("%q is not a URL", text), path...)
	}
}

func (c *checker) fault(message string, path ...string) {
	key := ""
	for i, part := range path {
		if i > 0 {
			key += "."
		}
		key += part
	}
	c.faults = append(c.faults, fmt.Errorf("%s: line %d: %s: %s", c.file, c.lineOf(path), key, message))
}

// lineOf returns the line of a key, or of the nearest section around it.
func (c *checker) lineOf(path []string) int {
	node := c.root
	if node.Kind == yaml.DocumentNode && len(node.Content) > 0 {
		node = node.Content[0]
	}
	line := max(node.Line, 1)
	for _, part := range path {
		found := false
		for i := 0; node.Kind == yaml.MappingNode && i+1 < len(node.Content); i += 2 {
			if node.Content[i].Value == part {
				line = node.Content[i].Line
				node = node.Content[i+1]
				found = true
				break
			}
		}
		if !found {
			break
		}
	}
	return line
}
