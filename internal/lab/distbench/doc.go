// Package distbench runs the configuration distribution at its size on one machine: a source and relays as real
// processes, hundreds of subscribers over real connections, and real limiters. What is judged is what the subscribers'
// appliers and the stand-ins of discovery recorded, not what the distribution says of itself.
package distbench
