package choice

const (
	// MemoryParts is the number of equal parts of the memory limit. Customers' accounts, open requests with their
	// answers, input buffers, output that clients have not read, and received bytes that wait for the reducer may each
	// take one; what is left is for the program itself and the garbage collector.
	MemoryParts = 8
	// RequestBytes is the memory that an open request takes in addition to the bytes of its command, with its attempt,
	// timers and entries in all tables, in bytes.
	RequestBytes = 2048
	// AnswerBytes is the memory of an answer that waits for those ahead of it on its connection, in bytes.
	AnswerBytes = 128
	// abandonedIDBytes is the memory that the id of an abandoned request takes, in bytes.
	abandonedIDBytes = 256
	// abandonedIDsDivisor: the ids of abandoned requests may take this fraction of a part, 1/8.
	abandonedIDsDivisor = 8
	// serverBytes is the memory that a server takes with its connection pool, without connections, in bytes.
	serverBytes = 2048
	// serverParts is how many parts of the memory all servers may take.
	serverParts = 2
	// maxPipelined is how many commands of one client may wait for their answers.
	maxPipelined = 1024
	// reservedDivisor: this fraction of the part of requests and answers, 1/4, is kept for clients of which nothing else
	// waits, as usual clients send one request at a time on a connection.
	reservedDivisor = 4
)

// MemoryBudget decides what is given up when a kind of state has taken its part of the memory limit. Its value is the
// limit in bytes.
type MemoryBudget int64

// part is the memory that one kind of state may take, in bytes.
func (limit MemoryBudget) part() int64 { return int64(limit) / MemoryParts }

// shares reports whether a client that takes ofClient bytes of a part may take more while all clients take ofAll. A
// client that takes some already may take as much as is free without the reserve.
func (limit MemoryBudget) shares(ofClient, ofAll int64) bool {
	if ofClient == 0 {
		return ofAll < limit.part()
	}
	return ofClient < limit.part()-limit.part()/reservedDivisor-ofAll
}

// AdmitsRequest reports whether another request of a client is accepted while the open ones take held bytes and ofClient
// of the client's commands wait for their answers. One that is not had no effect and may be rejected; running out of
// memory would lose all accepted requests.
func (limit MemoryBudget) AdmitsRequest(ofClient int, held int64) bool {
	return limit.shares(int64(ofClient)*RequestBytes, held)
}

// AdmitsCommand reports whether another command of a client is read while ofClient of its commands, and ofAll of those
// of all clients, wait for their answers. A client of which none is read is closed behind its answers.
func (limit MemoryBudget) AdmitsCommand(ofClient, ofAll int) bool {
	return ofClient < maxPipelined && limit.shares(int64(ofClient)*AnswerBytes, int64(ofAll)*AnswerBytes)
}

// KeepsPartialCommand reports whether a client may go on sending a long command while all input buffers take buffered
// bytes. A client that may not is closed behind its answers.
func (limit MemoryBudget) KeepsPartialCommand(buffered int64) bool { return buffered <= limit.part() }

// KeepsPartialAnswer reports whether a server may go on sending a long answer while all input buffers take buffered bytes.
// A server that may not is disconnected, and its attempt counts as one that may have run. Clients alone cannot take what
// is left to servers here.
func (limit MemoryBudget) KeepsPartialAnswer(buffered int64) bool {
	return buffered <= limit.part()+limit.part()/reservedDivisor
}

// KeepsAbandonedID reports whether another id of an abandoned request is remembered beside others. Otherwise the one
// that would be forgotten first gives way to it.
func (limit MemoryBudget) KeepsAbandonedID(others int) bool {
	return int64(others)*abandonedIDBytes < limit.part()/abandonedIDsDivisor
}

// AdmitsServer reports whether a server that was not listed before is taken into use while there are servers others. One
// that is not is left out until others have gone; what a list tells of known servers always holds.
func (limit MemoryBudget) AdmitsServer(servers int) bool {
	return limit <= 0 || int64(servers)*serverBytes < serverParts*limit.part()
}

// MaxUnreadOutput is how many bytes of output may wait for clients to read them. Beyond it the clients with the most of
// it are closed.
func (limit MemoryBudget) MaxUnreadOutput() int64 { return limit.part() }
