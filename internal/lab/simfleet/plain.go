package simfleet

import "fmt"

// DefaultOptions returns the options that most scenarios start from: servers in two zones, each of which does 150
// requests per second once it is warm, and clients that request half of the total capacity from 3 s on. The requests of
// each customer are spread over ten limiters, or all if there are fewer.
func DefaultOptions(seed uint64, limiters, servers int) Options {
	o := Options{
		Seed:              seed,
		Limiters:          limiters,
		NotificationDelay: [2]int64{50e6, 300e6},
		DiscoveryCallRate: float64(limiters),
	}
	for i := range servers {
		o.Servers = append(
			o.Servers,
			ServerSpec{Name: fmt.Sprintf("s%d", i), Zone: [...]string{"east", "west"}[i%2], ServiceTime: 40e6,
				Slots: 6, Queue: 64, Report: true, DeduplicationWindow: 10e9},
		)
	}
	o.Load = Load{Rate: 75 * float64(servers), From: 3e9, Until: 20e9, AbandonShare: 0.01, RetryShare: 0.5,
		Classes: []ClassShare{{"fetch", 0.7, 1, 2500e6}, {"stamp", 0.1, 1, 3e9}, {"order", 0.2, 2, 4e9}}}
	customers := max(4, servers*2)
	for i := range customers {
		c := Customer{ID: fmt.Sprintf("%016x", 0xa0+i), Plan: [...]string{"house", "team"}[i%2], Share: 1,
			Limiters: min(10, limiters), First: i * 7 % limiters}
		if i%8 == 0 { // some customers request far more than their quota
			c.Share = 3
		}
		o.Load.Customers = append(o.Load.Customers, c)
	}
	return o
}

// StartAll starts all limiters, evenly spread over a period in nanoseconds from now on.
func (f *Fleet) StartAll(over int64) {
	for n := range f.limiters {
		f.q.at(f.q.now+over*int64(n)/int64(len(f.limiters)), func() { f.StartLimiter(n) })
	}
}
