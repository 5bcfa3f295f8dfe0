// Package settings reads and validates the settings file of a process. The file is YAML
// with kebab-case keys. Unknown keys are errors.
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

// Settings holds the settings of one process, with defaults for missing values.
type Settings struct {
	// Host is the unique name of this entry host.
	Host string `yaml:"host"`
	// Zone is the availability zone of this host.
	Zone object.Zone `yaml:"zone"`
	// Capacity is the number of processor cores that this host may use. Zero: not known.
	Capacity float64 `yaml:"capacity"`
	// LinkMbps is the width of the host's link in Mbit/s. Zero: not known.
	LinkMbps OptionalNumber `yaml:"link-mbps"`
	// MemoryMB is the memory limit of the host in MiB. Garbage is collected more often when
	// two thirds of it are in use. Zero: not known.
	MemoryMB  int64     `yaml:"memory-mb"`
	Callers   Callers   `yaml:"callers"`
	Peers     Peers     `yaml:"peers"`
	Operators Operators `yaml:"operators"`
	Store     Store     `yaml:"store"`
	Hosts     Hosts     `yaml:"hosts"`
	Log       Log       `yaml:"log"`
	Stop      Stop      `yaml:"stop"`
	// Gateway is set for a gateway, a host that forwards requests unchanged and takes its
	// configuration from the platform's store. It does not use Callers and Operators.
	Gateway *Gateway `yaml:"gateway"`
}

// TLS holds the certificate files of a listener. A listener without TLS uses plain HTTP.
type TLS struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	// ClientCA is the file of the certificate authorities that must have signed the client
	// certificates.
	ClientCA string `yaml:"client-ca"`
}

// Callers holds the settings of the listener for callers.
type Callers struct {
	Listen string `yaml:"listen"`
	// Advertise is the base URL that callers should use.
	Advertise string `yaml:"advertise"`
	TLS       *TLS   `yaml:"tls"`
	// MaxBodyBytes limits the size of a request body. Default 16 MiB.
	MaxBodyBytes int64 `yaml:"max-body-bytes"`
	// MaxHeaderBytes limits the size of the header of a request. Default 32 KiB.
	MaxHeaderBytes int `yaml:"max-header-bytes"`
	// ReadTimeout is the timeout for reading a whole request. Default 30s.
	ReadTimeout time.Duration `yaml:"read-timeout"`
	// AddressTTL is the time for which callers may cache the list of addresses. Default 5s.
	AddressTTL time.Duration `yaml:"address-ttl"`
}

// Peers holds the settings of the listener for other entry hosts.
type Peers struct {
	Listen    string `yaml:"listen"`
	Advertise string `yaml:"advertise"`
	TLS       *TLS   `yaml:"tls"`
	// Key is a secret shared by all entry hosts, which authenticates them to each other.
	Key string `yaml:"key"`
	// HeartbeatInterval is the interval between two rounds of heartbeats. Default 1s.
	HeartbeatInterval time.Duration `yaml:"heartbeat-interval"`
	// LinkInterval is the interval between two keepalive messages on a link. Default 500ms.
	LinkInterval time.Duration `yaml:"link-interval"`
	// LinkTimeout is the time without messages after which a link is closed. It must be longer
	// than two link intervals. Default 1500ms.
	LinkTimeout time.Duration `yaml:"link-timeout"`
	// LinkIdle is the time after which a link without requests is closed. Default 10s.
	LinkIdle time.Duration `yaml:"link-idle"`
}

// Operators holds the settings of the listener for operators.
type Operators struct {
	Listen string        `yaml:"listen"`
	TLS    *TLS          `yaml:"tls"`
	Keys   []OperatorKey `yaml:"keys"`
}

// Role defines what an operator may do.
type Role string

// The roles of operators.
const (
	RoleRead  Role = "read"
	RoleWrite Role = "write"
)

// OperatorKey is the key of one operator.
type OperatorKey struct {
	Name    string `yaml:"name"`
	Role    Role   `yaml:"role"`
	KeyHash string `yaml:"key-hash"` // Hex SHA-256 digest of the key.
}

// Store holds the settings of the platform's key-value store.
type Store struct {
	Endpoints []string `yaml:"endpoints"`
	// Prefix is the prefix of all keys. Default "/redwinglock/".
	Prefix string `yaml:"prefix"`
	// Timeout is the timeout of one call. Default 1s.
	Timeout time.Duration `yaml:"timeout"`
	// PollInterval is the interval between two reads of the configuration head. Default 15s.
	PollInterval time.Duration `yaml:"poll-interval"`
	// ClaimRetention is the retention time of idempotency keys. Default 24h.
	ClaimRetention time.Duration `yaml:"claim-retention"`
}

// Hosts holds the settings of the platform's list of hosts.
type Hosts struct {
	URL string `yaml:"url"`
	// Interval is the interval between two reads. Default 1s.
	Interval time.Duration `yaml:"interval"`
	// Readers is the number of hosts that read the list and notify the others of changes.
	// Default 3.
	Readers int `yaml:"readers"`
}

// Log holds the settings of the log.
type Log struct {
	Format string `yaml:"format"` // "text" (default) or "json".
	Level  string `yaml:"level"`  // Default "info".
}

// Stop holds the settings of a graceful shutdown.
type Stop struct {
	// Limit is the maximum time for requests in flight to finish. Default 15m.
	Limit time.Duration `yaml:"limit"`
}

// Load reads and validates a settings file. The returned error lists all errors, each with
// file, line and key.
func Load(file string) (*Settings, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(file, content)
}

// Parse parses and validates the content of a settings file. The file name is used in
// errors only.
func Parse(file string, content []byte) (*Settings, error) {
	s := &Settings{}
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	decoder.KnownFields(true)
	var errs []error
	// An empty file is not an error here: the checks below report its missing settings.
	if err := decoder.Decode(s); err != nil && !errors.Is(err, io.EOF) {
		var typeError *yaml.TypeError
		if !errors.As(err, &typeError) {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		for _, message := range typeError.Errors {
			errs = append(errs, fmt.Errorf("%s: %s", file, message))
		}
	}
	s.SetDefaults()
	var root yaml.Node
	if err := yaml.Unmarshal(content, &root); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	c := &checker{file: file, root: &root, errs: errs}
	c.check(s)
	if err := errors.Join(c.errs...); err != nil {
		return nil, err
	}
	return s, nil
}

// SetDefaults sets every missing optional setting to its default.
func (s *Settings) SetDefaults() {
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
		s.Gateway.setDefaults()
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// checker validates settings and collects all errors of the file.
type checker struct {
	file string
	root *yaml.Node
	errs []error
}

func (c *checker) check(s *Settings) {
	c.require(s.Host, "host")
	c.require(string(s.Zone), "zone")
	if !(s.LinkMbps >= 0) {
		c.addError("is negative, or no number", "link-mbps")
	}
	if s.Capacity < 0 {
		c.addError("is negative", "capacity")
	}
	if s.MemoryMB < 0 {
		c.addError("is negative", "memory-mb")
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
			c.addError("needs name, role (read or write) and key-hash (hex SHA-256)", "operators", "keys")
		}
	}
	if len(s.Store.Endpoints) == 0 {
		c.addError("at least one endpoint is needed", "store", "endpoints")
	}
	for _, endpoint := range s.Store.Endpoints {
		c.checkURL(endpoint, "store", "endpoints")
	}
	c.checkURL(s.Hosts.URL, "hosts", "url")
}

// checkCommon checks the settings that every kind of host uses.
func (c *checker) checkCommon(s *Settings) {
	c.checkListener(s.Peers.Listen, s.Peers.TLS, "peers")
	c.checkURL(s.Peers.Advertise, "peers", "advertise")
	c.require(s.Peers.Key, "peers", "key")
	if s.Log.Format != "text" && s.Log.Format != "json" {
		c.addError("is neither text nor json", "log", "format")
	}
	c.checkPositive(s)
}

func (c *checker) checkPositive(s *Settings) {
	durations := []struct {
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
	for _, duration := range durations {
		if duration.value <= 0 {
			c.addError("is too short", duration.path...)
		}
	}
	if s.Callers.MaxBodyBytes < 0 {
		c.addError("is negative", "callers", "max-body-bytes")
	}
}

func (c *checker) require(value string, path ...string) {
	if value == "" {
		c.addError("is missing", path...)
	}
}

func (c *checker) checkAddress(address string, path ...string) {
	if _, _, err := net.SplitHostPort(address); err != nil {
		c.addError(fmt.Sprintf("%q is not an address with a port", address), path...)
	}
}

func (c *checker) checkListener(address string, tls *TLS, section string) {
	c.checkAddress(address, section, "listen")
	if tls != nil && (tls.Certificate == "" || tls.Key == "") {
		c.addError("needs certificate and key", section, "tls")
	}
}

func (c *checker) checkURL(text string, path ...string) {
	parsed, err := url.Parse(text)
	if err != nil || parsed.Host == "" {
		c.addError(fmt.Sprintf("%q is not a URL", text), path...)
	}
}

func (c *checker) addError(message string, path ...string) {
	key := ""
	for i, part := range path {
		if i > 0 {
			key += "."
		}
		key += part
	}
	c.errs = append(c.errs, fmt.Errorf("%s: line %d: %s: %s", c.file, c.lineOf(path), key, message))
}

// lineOf returns the line of a key, or the line of the innermost enclosing section if the key
// is missing.
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
