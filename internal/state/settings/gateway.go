package settings

import "time"

// Defaults of the limits of a request at a gateway.
const (
	DefaultGatewayMaxBodyBytes   = 4 << 20
	DefaultGatewayMaxHeaderBytes = 64 << 10
)

// Gateway holds the settings of a gateway, a host that forwards requests unchanged.
type Gateway struct {
	// Callers, Readiness and Directory are the listen addresses for callers, for the readiness
	// checks of the platform and for callers that request the list of host addresses.
	Callers   string `yaml:"callers"`
	Readiness string `yaml:"readiness"`
	Directory string `yaml:"directory"`
	// Metrics is the listen address for metrics. Empty: metrics are not served.
	Metrics string `yaml:"metrics"`
	// Store is the address of the platform's store.
	Store string `yaml:"store"`
	// StoreTimeout is the timeout of one call to the store. Default 1s.
	StoreTimeout time.Duration `yaml:"store-timeout"`
	// AddressTTL is the time for which callers may cache the list of addresses. Default 2s.
	AddressTTL time.Duration `yaml:"address-ttl"`
	// MaxBodyBytes limits the size of a request body. Default 4 MiB.
	MaxBodyBytes int64 `yaml:"max-body-bytes"`
	// RetryShare is the fraction of the requests of a pool that may be retried. Default 0.1.
	RetryShare float64 `yaml:"repeat-share"`
	// RetrySlack is the number of retries beyond RetryShare that all hosts together may make
	// for a pool in ten seconds. Default 50.
	RetrySlack float64 `yaml:"repeat-slack"`
	// Quota defines by how much accounts may exceed their quotas.
	Quota Quota `yaml:"quota"`
	// Rollout limits the requests that a bad version of a pool may receive.
	Rollout Rollout `yaml:"rollout"`
	// MaxHeaderBytes limits the size of the head of a request. Default 64 KiB.
	MaxHeaderBytes int `yaml:"max-header-bytes"`
	// ReuseConnections sends requests that may run only once on recently used connections.
	ReuseConnections bool `yaml:"reuse-connections"`
	// KeptPrompts sends the sizes of prompt prefixes to arbiters, which then weigh the prompt tokens
	// that a target still holds against the wait.
	KeptPrompts bool `yaml:"kept-prompts"`
	// ArbiterWait is how long the requests of a new host wait for a link to the arbiter, and how long
	// requests at a new arbiter wait until it serves all hosts. 0 disables both waits.
	ArbiterWait time.Duration `yaml:"arbiter-wait"`
	// StopServe is how long a stopping host accepts requests from callers that still have its
	// address. Default 4s.
	StopServe time.Duration `yaml:"stop-serve"`
	// StopServeLong is how long a stopping host accepts streams whose deadlines pass after the end of
	// its shutdown, at most StopServe. Default 2.8s, or StopServe if that is shorter.
	StopServeLong time.Duration `yaml:"stop-serve-long"`
}

// Quota defines by how much accounts may exceed their quotas within a window.
type Quota struct {
	// Window is the period over which usage is measured.
	Window time.Duration `yaml:"window"`
	// Overage is the fraction by which usage may exceed rate and burst. Slack is an additional
	// amount in tokens or requests.
	Overage float64 `yaml:"overage"`
	Slack   float64 `yaml:"slack"`
}

// Rollout limits the requests that a bad version may receive during a rollout.
type Rollout struct {
	// Share is a fraction of all requests of the pool during the rollout. Default 0.1.
	Share float64 `yaml:"share"`
	// Slack is the number of requests that it may receive in addition.
	Slack float64 `yaml:"slack"`
}

func (g *Gateway) setDefaults() {
	setDefault(&g.Rollout.Share, 0.1)
	setDefault(&g.StoreTimeout, time.Second)
	setDefault(&g.AddressTTL, 2*time.Second)
	setDefault(&g.MaxBodyBytes, DefaultGatewayMaxBodyBytes)
	setDefault(&g.MaxHeaderBytes, DefaultGatewayMaxHeaderBytes)
	setDefault(&g.RetryShare, 0.1)
	setDefault(&g.RetrySlack, 50)
	setDefault(&g.StopServe, 4*time.Second)
	setDefault(&g.StopServeLong, min(2800*time.Millisecond, g.StopServe))
}

func (c *checker) checkGateway(g *Gateway) {
	c.checkAddress(g.Callers, "gateway", "callers")
	c.checkAddress(g.Readiness, "gateway", "readiness")
	c.checkAddress(g.Directory, "gateway", "directory")
	c.checkAddress(g.Store, "gateway", "store")
	if g.Metrics != "" {
		c.checkAddress(g.Metrics, "gateway", "metrics")
	}
	if g.StoreTimeout <= 0 {
		c.addError("is too short", "gateway", "store-timeout")
	}
	if g.AddressTTL <= 0 {
		c.addError("is too short", "gateway", "address-ttl")
	}
	if g.StopServe <= 0 {
		c.addError("is too short", "gateway", "stop-serve")
	}
	if g.StopServeLong <= 0 || g.StopServeLong > g.StopServe {
		c.addError("is too short, or longer than stop-serve", "gateway", "stop-serve-long")
	}
	if g.MaxBodyBytes < 0 {
		c.addError("is negative", "gateway", "max-body-bytes")
	}
	if g.ArbiterWait < 0 {
		c.addError("is negative", "gateway", "arbiter-wait")
	}
	if g.MaxHeaderBytes < 0 {
		c.addError("is negative", "gateway", "max-header-bytes")
	}
	if g.Quota.Window < 0 || g.Quota.Overage < 0 || g.Quota.Slack < 0 {
		c.addError("window, overage or slack is negative", "gateway", "quota")
	}
	if g.Rollout.Share < 0 || g.Rollout.Share > 1 {
		c.addError("is not between 0 and 1", "gateway", "rollout", "share")
	}
	if g.Rollout.Slack < 0 {
		c.addError("is negative", "gateway", "rollout", "slack")
	}
	if g.RetryShare < 0 || g.RetryShare > 1 {
		c.addError("is not between 0 and 1", "gateway", "repeat-share")
	}
	if g.RetrySlack < 0 {
		c.addError("is negative", "gateway", "repeat-slack")
	}
}
