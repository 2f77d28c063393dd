package upgrade

// Reply is an engine's response to an order.
type Reply int

const (
	// Accepted means that the engine executes the order.
	Accepted Reply = iota
	// AlreadyLoaded means that the engine already had the weights of the order.
	AlreadyLoaded
	// Conflict means that another order is in progress or that the number of accepted orders is not the
	// expected one.
	Conflict
	// StaleFence means that the engine has seen a higher fencing token.
	StaleFence
	// WrongEngine means that a different engine answers at the address.
	WrongEngine
	// Invalid means that the engine does not support the order.
	Invalid
	// NotReady means that the engine is not accepting calls.
	NotReady
)

// String returns the name of the reply in log lines.
func (re Reply) String() string {
	return [...]string{"accepted", "holds", "conflict", "outdated", "elsewhere", "invalid", "unready"}[re]
}
