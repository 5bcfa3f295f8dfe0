// Command redwinglock schedules requests between many callers and a fleet of model
// engines and plain services.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/alexflint/go-arg"

	"redwinglock/internal/control/host"
	"redwinglock/internal/entry/command"
	"redwinglock/internal/state/object"
	"redwinglock/internal/state/settings"
	"redwinglock/platform"
	"redwinglock/platform/configcheck"
)

type serveCommand struct {
	Settings      string `arg:"--settings,required,env:REDWINGLOCK_CONFIG" help:"settings file of this host"`
	CheckSettings bool   `arg:"--check-settings" help:"check the settings and exit"`
}

type pathCommand struct {
	Path string `arg:"positional,required" help:"directory or file with objects in YAML"`
}

type checkConfigCommand struct {
	File    string `arg:"positional,required" help:"operator's configuration in JSON"`
	InForce string `arg:"--in-force" placeholder:"FILE" help:"configuration in force, to compare with"`
}

type keysCommand struct {
	Keys []string `arg:"positional" help:"objects as kind/name"`
}

type targetsCommand struct {
	Targets []string `arg:"positional,required" help:"names of targets"`
}

type hashKeyCommand struct {
	Key string `arg:"positional,required" help:"key of an account or operator"`
}

type explainCommand struct {
	ID    string   `arg:"positional,required" help:"id of a request, of the caller or of a host"`
	Files []string `arg:"positional,required" help:"logs of hosts"`
}

type poolsCommand struct {
	Pool  string   `arg:"--pool" help:"this pool only"`
	Class string   `arg:"--class" help:"this class of requests only"`
	Files []string `arg:"positional,required" help:"logs of hosts"`
}

type prefixesCommand struct {
	URL string `arg:"--metrics-url,required" help:"metrics listener of a gateway host"`
}

type releaseCommand struct {
	URL     string `arg:"--metrics-url,required" help:"metrics listener of a gateway host"`
	PeerKey string `arg:"--peer-key,env:REDWINGLOCK_PEER_KEY" help:"key that all hosts share"`
	Pool    string `arg:"positional,required" help:"name of the pool"`
	Prefix  string `arg:"positional,required" help:"prompt prefix, as the command prefixes prints it"`
}

type arguments struct {
	Serve       *serveCommand       `arg:"subcommand:serve" help:"run an entry host"`
	Check       *pathCommand        `arg:"subcommand:check" help:"check objects without a host"`
	CheckConfig *checkConfigCommand `arg:"subcommand:check-config" help:"check an operator's configuration without a host or a store"`
	Apply       *pathCommand        `arg:"subcommand:apply" help:"publish objects as one change set"`
	Diff        *pathCommand        `arg:"subcommand:diff" help:"show what apply would change (exit code 5 if anything)"`
	Get         *keysCommand        `arg:"subcommand:get" help:"print objects"`
	Delete      *keysCommand        `arg:"subcommand:delete" help:"delete objects as one change set"`
	Drain       *targetsCommand     `arg:"subcommand:drain" help:"send no new work to targets"`
	Undrain     *targetsCommand     `arg:"subcommand:undrain" help:"send work to targets again"`
	Status      *struct{}           `arg:"subcommand:status" help:"print the state of a host"`
	Explain     *explainCommand     `arg:"subcommand:explain" help:"print what the logs of hosts tell of one request"`
	Pools       *poolsCommand       `arg:"subcommand:pools" help:"print the states of pools that the logs of hosts tell"`
	Prefixes    *prefixesCommand    `arg:"subcommand:prefixes" help:"print the prompt prefixes that crash targets"`
	Release     *releaseCommand     `arg:"subcommand:release" help:"send requests with a held prompt prefix again"`
	HashKey     *hashKeyCommand     `arg:"subcommand:hash-key" help:"print the digest under which a key is stored"`
	Version     *struct{}           `arg:"subcommand:version" help:"print the version"`

	URL string `arg:"--url,env:REDWINGLOCK_URL" default:"http://127.0.0.1:7003" help:"operators' listener of a host"`
	Key string `arg:"--key,env:REDWINGLOCK_KEY" help:"operator key"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "redwinglock schedules requests between many callers and a fleet of engines and services.\n" +
		"Exit codes: 0 done, 1 failed, 2 invalid input, 3 conflict, 4 not known whether accepted, 5 differs."
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	if parser.Subcommand() == nil {
		parser.WriteHelp(os.Stderr)
		os.Exit(command.ExitInvalid)
	}
	err := run(&args)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(command.ExitCode(err))
}

func run(args *arguments) error {
	ctx := context.Background()
	commands := command.New(args.URL, args.Key, os.Stdout)
	switch {
	case args.Serve != nil:
		return serve(args.Serve)
	case args.Check != nil:
		return command.Check(args.Check.Path, os.Stdout)
	case args.CheckConfig != nil:
		return command.CheckConfig(args.CheckConfig.File, args.CheckConfig.InForce, configcheck.Check, os.Stdout)
	case args.Apply != nil:
		return commands.Apply(ctx, args.Apply.Path)
	case args.Diff != nil:
		return commands.Diff(ctx, args.Diff.Path)
	case args.Get != nil:
		return commands.Get(ctx, args.Get.Keys)
	case args.Delete != nil:
		return commands.Delete(ctx, args.Delete.Keys)
	case args.Drain != nil:
		return commands.Drain(ctx, args.Drain.Targets, true)
	case args.Undrain != nil:
		return commands.Drain(ctx, args.Undrain.Targets, false)
	case args.Status != nil:
		return commands.Status(ctx)
	case args.Explain != nil:
		return command.Explain(args.Explain.ID, args.Explain.Files, os.Stdout)
	case args.Pools != nil:
		return command.Pools(args.Pools.Files, command.PoolsFilter{Pool: args.Pools.Pool, Class: args.Pools.Class}, os.Stdout)
	case args.Prefixes != nil:
		return command.Prefixes(ctx, args.Prefixes.URL, os.Stdout)
	case args.Release != nil:
		return command.Release(ctx, args.Release.URL, args.Release.PeerKey, args.Release.Pool, args.Release.Prefix, os.Stdout)
	case args.HashKey != nil:
		fmt.Println(object.HashKey(args.HashKey.Key))
	case args.Version != nil:
		printVersion()
	}
	return nil
}

func serve(args *serveCommand) error {
	signals := host.WatchSignals()
	defer signals.Close()
	s, err := settings.Load(args.Settings)
	if err != nil {
		return command.Invalid(err)
	}
	if args.CheckSettings {
		fmt.Println("settings are valid")
		return nil
	}
	if s.Gateway != nil {
		load := func() (*settings.Settings, error) { return settings.Load(args.Settings) }
		return host.RunGateway(s, load, platform.NewStore(s.Gateway.Store, s.Gateway.StoreTimeout), platform.Translator{Quota: s.Gateway.Quota}, platform.Dialect{}, signals)
	}
	return host.Run(s, signals)
}

func printVersion() {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		version = info.Main.Version
	}
	fmt.Println("redwinglock", version)
}
