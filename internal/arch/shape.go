package arch

// Bounds of the code of a package listed in Shaped. Test files are not counted.
const (
	MaxFileLines     = 500
	MaxFunctionLines = 45 // most stay under 40
	MaxTypeMethods   = 40
	MaxTypeFields    = 25
)

// Shaped lists the packages that keep to the bounds above. A package is entered once it does, and stays.
var Shaped = []string{
	"",
	"internal/admission",
	"internal/agents",
	"internal/autoscaler",
	"internal/cancelwatermark",
	"internal/certs",
	"internal/cli",
	"internal/cloud",
	"internal/datarecovery",
	"internal/gangpreemption",
	"internal/goldentest",
	"internal/history",
	"internal/httpx",
	"internal/jobstate",
	"internal/kvstore",
	"internal/leadership",
	"internal/leasegrant",
	"internal/peer",
	"internal/placement",
	"internal/protocol",
	"internal/provisioning",
	"internal/quarantine",
	"internal/scheduler",
	"internal/settings",
	"internal/shards",
	"internal/teamconfig",
	"internal/teamstore",
	"internal/tomlfile",
	"internal/userapi",
	"internal/wait",
	"internal/wal",
}
