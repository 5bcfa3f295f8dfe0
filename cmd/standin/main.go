// Command standin runs a stand-in for one of the systems around redwinglock, for the demo and
// for tests with separate processes. redwinglock itself does not use it.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/alexflint/go-arg"

	"redwinglock/internal/standin/engine"
	"redwinglock/internal/standin/hosts"
	"redwinglock/internal/standin/service"
	"redwinglock/internal/standin/store"
)

type listenArguments struct {
	Listen string `arg:"--listen" default:"127.0.0.1:0" help:"address to listen on"`
}

type engineArguments struct {
	listenArguments
	Prefill  time.Duration `arg:"--prefill" default:"20us" help:"time per prompt token"`
	Decode   time.Duration `arg:"--decode" default:"2ms" help:"time per generated token"`
	NoResume bool          `arg:"--no-resume" help:"streams cannot be resumed"`
}

type serviceArguments struct {
	listenArguments
	Delay time.Duration `arg:"--delay" default:"5ms" help:"time per call"`
}

type arguments struct {
	Store   *listenArguments  `arg:"subcommand:store" help:"key-value service"`
	Hosts   *listenArguments  `arg:"subcommand:hosts" help:"list of hosts"`
	Engine  *engineArguments  `arg:"subcommand:engine" help:"model engine"`
	Service *serviceArguments `arg:"subcommand:service" help:"plain service"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	var err error
	switch {
	case args.Store != nil:
		err = serve(args.Store.Listen, store.New())
	case args.Hosts != nil:
		err = serve(args.Hosts.Listen, hosts.New(nil))
	case args.Engine != nil:
		e := args.Engine
		err = serve(e.Listen, engine.New(engine.Settings{PrefillPerToken: e.Prefill, DecodePerToken: e.Decode, NoResume: e.NoResume}))
	case args.Service != nil:
		err = serve(args.Service.Listen, service.New(args.Service.Delay))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// serve prints its URL as the first line of the output and serves requests on it.
func serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	fmt.Printf("http://%s\n", listener.Addr())
	return http.Serve(listener, handler)
}
