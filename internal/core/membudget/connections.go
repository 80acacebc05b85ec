package membudget

// Connections returns how many connections of callers are kept open at most: a share of what the
// descriptors leave beside those for files, and no more than fit a half of the budget; 0 if
// neither is known.
func Connections(descriptors, budget int64) int {
	most := int64(share(descriptors, callerShare))
	if budget > 0 {
		fit := max(minConnections, budget/2/ConnectionBytes)
		if most == 0 || fit < most {
			most = fit
		}
	}
	return int(most)
}

// LookupConnections returns how many connections for look-ups are kept open at most, and
// ServiceConnections how many each of the listeners for readiness and for operators keeps; 0 if
// the descriptors are not known.
func LookupConnections(descriptors int64) int { return share(descriptors, lookupShare) }

// MaxExchanges returns how many requests may wait for servers at once, each with a connection, and
// ServerConnections how many connections to servers, idle ones included, are kept; 0 if the
// descriptors are not known.
func MaxExchanges(descriptors int64) int { return share(descriptors, exchangeShare) }

// ServerConnections is described at MaxExchanges.
func ServerConnections(descriptors int64) int { return share(descriptors, serverShare) }

// ServiceConnections is described at LookupConnections.
func ServiceConnections(descriptors int64) int { return share(descriptors, serviceShare) }

func share(descriptors int64, part float64) int {
	if descriptors <= 0 {
		return 0
	}
	return int(max(minConnections, int64(part*float64(descriptors-FileDescriptors))))
}

const (
	// lookupShare and serviceShare are parts of the descriptors, those for files not counted.
	// Callers hold the answer to a look-up for seconds, so that most of these connections are idle.
	lookupShare  = 0.1
	serviceShare = 0.02
	// FileDescriptors are reserved for files, as the platform asks.
	FileDescriptors = 200
	// callerShare is the part of the others that callers' connections take. Each of them has at
	// most one connection to a server for most of its time, which the rest must cover together
	// with peers and the store.
	callerShare = 0.6
	// exchangeShare and serverShare are the parts for requests at servers, and for them with idle
	// connections and second attempts.
	exchangeShare = 0.25
	serverShare   = 0.28
	// minConnections is the least bound, for limits that leave nothing.
	minConnections = 16
	// ConnectionBytes is what an open connection holds without a request: goroutine and stack,
	// read buffer, the kernel's structures.
	ConnectionBytes = 16 << 10
	// RequestBytes is what a request holds beside that, its head and its body while it is handled:
	// goroutine and stack, the state of its attempts, the connection to a server.
	RequestBytes = 16 << 10
)
