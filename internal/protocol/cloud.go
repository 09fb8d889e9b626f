package protocol

// HostState is the state of a machine in the cloud's list.
type HostState string

// States of a machine.
const (
	HostBooting HostState = "booting"
	HostRunning HostState = "running"
	HostFailed  HostState = "failed" // failed to boot or broke down; it is billed until it is returned
)

// MaxScaleOut is the maximum number of machines in one scale-out request.
const MaxScaleOut = 50

// Catalog lists the machine types that the cloud rents, with their present prices.
type Catalog struct {
	Types []MachineType `json:"modelos"`
}

// MachineType is a machine type that the cloud rents.
type MachineType struct {
	Name             string   `json:"name"`
	CPUs             float64  `json:"cores"`
	GPUs             float64  `json:"cards"`
	MemoryGB         float64  `json:"ram_gb"`
	CacheGB          float64  `json:"local_gb"`
	FetchGBPerSecond float64  `json:"pull_gb_per_s"`
	PricePerHour     float64  `json:"price"`
	SpotPricePerHour float64  `json:"low_price"`
	BootSeconds      float64  `json:"ready_s"`
	Zones            []string `json:"zonas"`
}

// ScaleOutRequest asks the cloud to rent machines. Request identifies it: the cloud carries out repeated requests with
// the same ID only once.
type ScaleOutRequest struct {
	Request string `json:"pedido"`
	Type    string `json:"modelo"`
	Zone    string `json:"zona"`
	Spot    bool   `json:"prestadas"`
	Count   int    `json:"how_many"`
}

// MachineNames lists machines by name.
type MachineNames struct {
	Machines []string `json:"estaciones"`
}

// Host is a machine in the cloud's list.
type Host struct {
	UID        string    `json:"uid"`
	Addr       string    `json:"address"`
	Type       string    `json:"modelo"`
	Zone       string    `json:"zona"`
	Spot       bool      `json:"prestadas"`
	State      HostState `json:"estado"`
	AgeSeconds float64   `json:"held_s"`
}

// HostList is one page of the cloud's list.
type HostList struct {
	Hosts []Host `json:"estaciones"`
	More  bool   `json:"more"`
}
