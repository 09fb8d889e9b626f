package datarecovery

// Sign is an observation that contradicts that the state service has everything it acknowledged. Its text is shown in
// the overview and in the log. A sign is checked by a comparison. A proof is a sign that the store's own answers cannot
// refute, and needs no comparison.
type Sign string

// Signs.
const (
	SignLeaseGone            Sign = "a lease is gone that cannot have ended"
	SignAcknowledgedGone     Sign = "something acknowledged is gone"
	SignListLacks            Sign = "the list of keys lacks what was acknowledged"
	SignRosterGone           Sign = "a list of machines is not there"
	SignConfigurationGone    Sign = "a team's configuration is not there"
	SignConfigurationDeleted Sign = "a team's configuration was deleted"
	SignEpochKeyDeleted      Sign = "the generation's key was deleted"
	SignRecordOlder          Sign = "the control record is older than the one known"
	SignRecordOutOfChain     Sign = "the control record does not follow the one known"
	SignPeersRevision        Sign = "others have seen more of it"
)

// Proofs.
const (
	ProofTokenBeforeStore Sign = "a worker knows a term from before the store's first"
	ProofLaterTerm        Sign = "a worker or controller knows a later term than the store"
	ProofLaterEpoch       Sign = "a controller knows a later generation than the store"
	ProofEpochKeyGone     Sign = "the store's generation has no key of its own"
	ProofUnknownJob       Sign = "a worker has a task of a job that the store does not know"
	ProofJobGone          Sign = "an accepted job is gone without an end"
	ProofUnlistedMachine  Sign = "a worker has tasks though its machine is on no list"
)

// signOfPeer returns the sign that a peer suspects a loss.
func signOfPeer(name string) Sign { return Sign("controller " + name + " doubts it") }
