package wire

// MachineType is a type of machine that the cloud offers.
type MachineType struct {
	Name        string   `msgpack:"label"`
	CPUs        float64  `msgpack:"vcpus"`
	GPUs        float64  `msgpack:"gpus"`
	MemoryGB    float64  `msgpack:"ramGb"`
	CacheGB     float64  `msgpack:"cacheGb"`
	FetchGBPerS float64  `msgpack:"fetchGbPerS"`
	Price       float64  `msgpack:"price"`
	SpotPrice   float64  `msgpack:"spotPrice"`
	BootS       float64  `msgpack:"startupS"`
	Zones       []string `msgpack:"yards"`
}

// Catalog lists the machine types that the cloud offers.
type Catalog struct {
	Types []MachineType `msgpack:"rigs"`
}

// InstanceRequest requests machines of one type from the cloud.
type InstanceRequest struct {
	RequestID string `msgpack:"hire" json:"hire"`
	Type      string `msgpack:"rig" json:"rig"`
	Zone      string `msgpack:"yard" json:"yard"`
	Spot      bool   `msgpack:"loaners" json:"loaners"`
	Count     int    `msgpack:"count" json:"count"`
}

// MachineNames lists machines that were provisioned or are to be terminated.
type MachineNames struct {
	Machines []string `msgpack:"hosts"`
}

// MachineState is the state of a machine in the cloud's machine list.
type MachineState string

// The states of a machine.
const (
	MachineBooting MachineState = "booting"
	MachineRunning MachineState = "running"
	MachineFailed  MachineState = "failed"
)

// ListedMachine is one machine in the cloud's machine list.
type ListedMachine struct {
	Name  string       `msgpack:"nameId"`
	Addr  string       `msgpack:"address"`
	Type  string       `msgpack:"rig"`
	Zone  string       `msgpack:"yard"`
	Spot  bool         `msgpack:"loaners"`
	State MachineState `msgpack:"status"`
	AgeS  float64      `msgpack:"heldS"`
}

// MachineList is one page of the cloud's machine list.
type MachineList struct {
	Machines []ListedMachine `msgpack:"hosts"`
	More     bool            `msgpack:"more"`
}
