// Package arch states the layers of the program. Its test fails when a package imports
// one that stands above it.
package arch

// Module is the path of this module, which is also the import path of the library.
const Module = "topazhollow"

// Layer is a group of packages at one height.
type Layer struct {
	Name string
	// Packages are import paths below the module, "" for the module's root, lowest first.
	Packages []string
}

// Layers lists all packages, lowest first. A package may import packages of lower layers
// and those that stand before it in its own layer, and no others. A new package is entered
// here.
var Layers = []Layer{
	{"protocol and data", []string{
		"internal/protocol",
		"internal/httpx",
		"internal/settings",
		"internal/tomlfile",
		"internal/certs",
		"internal/wait",
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

// Controller is the program that runs on the platform. It links the library and what is
// below it: nothing of the tools, and none of the modules in HeavyModules.
const Controller = "cmd/topazhollow"

// HeavyModules are modules that only tools may use.
var HeavyModules = []string{
	"go.etcd.io/bbolt",
	"gonum.org/v1/plot",
	"google.golang.org/grpc",
	"honnef.co/go/tools",
}
