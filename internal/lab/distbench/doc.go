// Package distbench measures the configuration distribution at production size on one machine: a source and relays as
// real processes, hundreds of hollow limiters and some real limiters. A hollow limiter is a real subscriber that
// follows its relays over real connections, without the rest of a limiter; several of them run in one host process.
//
// The measurements come from the subscribers' appliers and from the discovery stubs that the real limiters poll, not
// from the status that the distribution itself reports.
package distbench
