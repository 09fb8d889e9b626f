package arch

// Size limits for the code of packages in SizeLimited. Test files are not checked.
const (
	MaxFileLines     = 500
	MaxFunctionLines = 45
	MaxTypeMethods   = 40
	MaxTypeFields    = 25
)

// SizeLimited lists the packages that must keep within the limits above. A package is added once it does, and is not
// removed again.
var SizeLimited = []string{
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

// SizeLimitedTypes lists the types that must keep within the limits above in packages that are not in SizeLimited: the
// type, its methods, and the files that declare any of them. Their fields must not refer to the types in
// ComposingTypes, so that they declare what they use of them. A type is not removed again.
var SizeLimitedTypes = map[string][]string{
	"internal/controller": {
		"epochManager",
		"factReplication",
		"factReplicator",
		"lossDetector",
		"machineCensus",
		"presenceKey",
		"recoveryDriver",
		"stateExchange",
		"storeWriteBack",
	},
}

// ComposingTypes lists the types that assemble a package's other types.
var ComposingTypes = map[string][]string{
	"internal/controller": {"Node"},
}
