package scale

import (
	"path/filepath"
	"time"
)

// profile writes processor profiles of one hollow limiter with 8,500 servers on its list: while idle, and while
// servers change.
func (h *Harness) profile() error {
	s, err := newStandIns(standInsSpec{limiters: 1, servers: h.sizes([]int{100}, []int{Servers})[0]})
	if err != nil {
		return err
	}
	defer s.close()
	hosts, err := h.startHollowLimiters(s, 0, 1, s.encodedList())
	if err != nil {
		return err
	}
	defer stopHosts(hosts)
	length := h.duration(10 * time.Second)
	time.Sleep(h.duration(3 * time.Second))
	for _, activity := range []string{"idle", "changes"} {
		stop := make(chan struct{})
		done := make(chan struct{})
		go func() {
			defer close(done)
			if activity == "changes" {
				s.changeServers(stop, 100*time.Millisecond)
			}
		}()
		path := filepath.Join(h.options.Out, "profile-"+activity+".pprof")
		_, err := hosts[0].execute(hostCommand{Command: "profile", Seconds: length.Seconds(), Path: path})
		close(stop)
		<-done
		if err != nil {
			return err
		}
		h.logf("wrote profile %s", path)
	}
	return nil
}

// changeServers changes one server per interval, in turn, until stop is closed.
func (s *standIns) changeServers(stop chan struct{}, interval time.Duration) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-tick.C:
			instance := s.list[i%len(s.list)]
			instance.StartedMs = time.Now().UnixMilli()
			s.discovery.Set(instance)
		}
	}
}
