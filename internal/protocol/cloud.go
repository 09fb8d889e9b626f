package protocol

// HostState is the state of a machine in the cloud's list.
type HostState string

// The states of a machine.
const (
	HostBooting HostState = "booting"
	HostRunning HostState = "running"
	HostFailed  HostState = "failed" // did not boot, or broke; it is still paid for
)

// MaxScaleOut is the largest number of machines that one request rents.
const MaxScaleOut = 50

// Catalog lists the machine types that the cloud rents, with present prices.
type Catalog struct {
	Types []MachineType `json:"modelos"`
}

// MachineType is one type that the cloud rents. Prices are per hour.
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

// ScaleOutRequest asks the cloud for machines. The cloud carries out a repeated Request once.
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
