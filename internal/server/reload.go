package server

import "time"

const (
	maxReloadRetries    = 10
	reloadRetryInterval = 50 * time.Millisecond
)

// readWithRetries reads a configuration after SIGHUP, and again for a while where it
// can't be used. It guards against a file that is being written: this signal may be
// the only one.
func readWithRetries[T any](read func() (T, error)) (T, error) {
	config, err := read()
	for retries := 0; err != nil && retries < maxReloadRetries; retries++ {
		time.Sleep(reloadRetryInterval)
		config, err = read()
	}
	return config, err
}

// reload reads the configuration again and has the loop apply it.
func (f *platformFrontEnd) reload() {
	cfg, err := readWithRetries(func() (*Config, error) { return ReadConfig(f.cfg.path) })
	f.loop.Post(func() { f.applyReload(cfg, err) })
}

// applyReload applies what a new configuration may change while the program runs: the
// address of the endpoint list, and the updates of it that are known. All else is
// for the next start. One that can't be read changes nothing.
func (f *platformFrontEnd) applyReload(cfg *Config, err error) {
	if err != nil {
		f.counters.FailedReloads++
		f.loop.Logf("reload failed, configuration unchanged: %v", err)
		return
	}
	f.counters.Reloads++
	if !f.discoveryStarted {
		f.cfg.DiscoveryAddress, f.cfg.InitialUpdates = cfg.DiscoveryAddress, cfg.InitialUpdates
		return
	}
	f.loop.Logf("configuration reloaded: endpoint list at %s, after revision %d", cfg.DiscoveryAddress, f.revision)
	f.applyUpdates(&cfg.InitialUpdates)
	f.watchDiscovery(cfg.DiscoveryAddress)
}
