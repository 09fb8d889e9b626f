// Package arch defines the layers of the program and size limits for its code. Its tests fail when a package imports one
// from a higher layer or exceeds a limit.
package arch

// Module is the path of this module, which is also the import path of the library.
const Module = "topazhollow"

// Layer is a group of packages at the same level.
type Layer struct {
	Name string
	// Packages are import paths relative to the module, "" for its root, lowest first.
	Packages []string
}

// Layers lists all packages of the module, lowest first. A package may import only packages listed before it. A new
// package must be added here.
var Layers = []Layer{
	{"protocol and data", []string{
		"internal/protocol",
		"internal/httpx",
		"internal/settings",
		"internal/tomlfile",
		"internal/certs",
		"internal/wait",
		"internal/instant",
		"internal/wal",
	}},
	{"subsystems", []string{
		"internal/admission",
		"internal/quarantine",
		"internal/cancelwatermark",
		"internal/placement",
		"internal/gangpreemption",
		"internal/leadership",
		"internal/datarecovery",
		"internal/autoscaler",
		"internal/provisioning",
		"internal/jobstate",
		"internal/dependencies",
		"internal/shards",
		"internal/scheduler",
		"internal/agents",
		"internal/leasegrant",
		"internal/cloud",
		"internal/peer",
		"internal/kvstore",
		"internal/teamconfig",
		"internal/userapi",
		"internal/teamstore",
	}},
	{"controller", []string{"internal/controller"}},
	{"library", []string{""}},
	{"tools", []string{
		"internal/arch",
		"internal/goldentest",
		"internal/history",
		"internal/simulation",
		"internal/blob",
		"internal/artifactstore",
		"internal/artifactreplication",
		"internal/taskrunner",
		"internal/reapi",
		"internal/snapshot",
		"internal/faultinjection",
		"internal/loadtest",
		"internal/cli",
	}},
	{"programs", []string{
		"cmd/topazhollow",
		"cmd/topazhollowctl",
		"cmd/topaz",
	}},
}

// Controller is the program that runs in production. It may link the library and the layers below it, but no tools and
// none of the modules in HeavyModules.
const Controller = "cmd/topazhollow"

// HeavyModules are large modules that only tools may use.
var HeavyModules = []string{
	"go.etcd.io/bbolt",
	"gonum.org/v1/plot",
	"google.golang.org/grpc",
	"honnef.co/go/tools",
}
