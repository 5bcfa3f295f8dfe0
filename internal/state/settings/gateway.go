package settings

import "time"

// Gateway are the settings of a host that passes requests on as they are.
type Gateway struct {
	// Callers, Readiness and Directory are the addresses of the listeners for callers, for
	// the platform's checks and for callers that ask which addresses to use.
	Callers   string `yaml:"callers"`
	Readiness string `yaml:"readiness"`
	Directory string `yaml:"directory"`
	// Metrics is the address on which metrics are served. Empty: they are not.
	Metrics string `yaml:"metrics"`
	// Store is the address of the platform's store.
	Store string `yaml:"store"`
	// StoreTimeout bounds one call to the store. Default 1s.
	StoreTimeout time.Duration `yaml:"store-timeout"`
	// AddressTTL is how long callers may keep the list of addresses. Default 2s.
	AddressTTL time.Duration `yaml:"address-ttl"`
	// MaxBodyBytes bounds a request body. Default 4 MiB.
	MaxBodyBytes int64 `yaml:"max-body-bytes"`
	// RepeatShare is the share of the requests of a pool that may be sent once more.
	// Default 0.1.
	RepeatShare float64 `yaml:"repeat-share"`
	// RepeatSlack is how many requests of a pool all hosts together may send once more in ten
	// seconds beside the share. Default 50.
	RepeatSlack float64 `yaml:"repeat-slack"`
	// Quota says how far the quotas of accounts may be passed.
	Quota Quota `yaml:"quota"`
	// Rollout bounds what a bad version of a pool may get.
	Rollout Rollout `yaml:"rollout"`
	// StopServe is how long a stopping host serves callers that still know it. Default 4s.
	StopServe time.Duration `yaml:"stop-serve"`
	// StopServeLong is how long it takes streams that may last longer than its stop, at most
	// StopServe. Default 2.8s, or StopServe if that is shorter.
	StopServeLong time.Duration `yaml:"stop-serve-long"`
}

// Quota says how far the quotas of accounts may be passed in a span of time.
type Quota struct {
	// Window is the span over which the use is judged.
	Window time.Duration `yaml:"window"`
	// Overage is the share by which rate and burst may be passed, Slack what may be used
	// beside it, in tokens or requests.
	Overage float64 `yaml:"overage"`
	Slack   float64 `yaml:"slack"`
}

// Rollout bounds the requests that a version which turns out to be bad may get.
type Rollout struct {
	// Share is the part of all requests of the pool while the rollout lasts. Default 0.1.
	Share float64 `yaml:"share"`
	// Slack is how many more it may get.
	Slack float64 `yaml:"slack"`
}

func (g *Gateway) fillIn() {
	setDefault(&g.Rollout.Share, 0.1)
	setDefault(&g.StoreTimeout, time.Second)
	setDefault(&g.AddressTTL, 2*time.Second)
	setDefault(&g.MaxBodyBytes, 4<<20)
	setDefault(&g.RepeatShare, 0.1)
	setDefault(&g.RepeatSlack, 50)
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
		c.fault("is too short", "gateway", "store-timeout")
	}
	if g.AddressTTL <= 0 {
		c.fault("is too short", "gateway", "address-ttl")
	}
	if g.StopServe <= 0 {
		c.fault("is too short", "gateway", "stop-serve")
	}
	if g.StopServeLong <= 0 || g.StopServeLong > g.StopServe {
		c.fault("is too short, or longer than stop-serve", "gateway", "stop-serve-long")
	}
	if g.MaxBodyBytes < 0 {
		c.fault("is negative", "gateway", "max-body-bytes")
	}
	if g.Quota.Window < 0 || g.Quota.Overage < 0 || g.Quota.Slack < 0 {
		c.fault("window, overage or slack is negative", "gateway", "quota")
	}
	if g.Rollout.Share < 0 || g.Rollout.Share > 1 {
		c.fault("is not between 0 and 1", "gateway", "rollout", "share")
	}
	if g.Rollout.Slack < 0 {
		c.fault("is negative", "gateway", "rollout", "slack")
	}
	if g.RepeatShare < 0 || g.RepeatShare > 1 {
		c.fault("is not between 0 and 1", "gateway", "repeat-share")
	}
	if g.RepeatSlack < 0 {
		c.fault("is negative", "gateway", "repeat-slack")
	}
}
