package server

import "time"

const (
	maxReloadRetries    = 10
	reloadRetryInterval = 50 * time.Millisecond
)

// readWithRetries reads a configuration after SIGHUP, and retries for a short time if
// reading fails. The file may still be being written, and there may be no further
// signal once it is complete.
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

// applyReload applies the parts of a new configuration that can change while the
// program runs: the address of the discovery service and the endpoint updates in the
// file. All other settings take effect at the next start. If the configuration could
// not be read, nothing changes.
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
