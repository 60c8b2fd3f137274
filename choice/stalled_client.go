package choice

// KeepsStalledClient reports whether a client stays connected whose command has been incomplete for so long while others
// wait to be accepted. One that does not gets an error; its command was never taken. The time limit is a dial timeout, as a
// client that writes slowly is rare and one that waits to be accepted may have sent its whole request.
func KeepsStalledClient(incompleteFor, dialTimeout int64) bool { return incompleteFor <= dialTimeout }
