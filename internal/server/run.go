package server

import "sync"

// Run serves until a shutdown signal and the last response: as a platform front end if
// platform is not nil, as a MySQL front end if mysqlConfig is not nil, or as both. It
// returns an error if it can't start.
func Run(platform *Config, mysqlConfig *MySQLConfig, signals *Signals) error {
	services, err := newServices(platform, mysqlConfig)
	if err != nil {
		return err
	}
	go signals.handleReloads(services)
	go signals.handlePrintAndTerminate(services)
	var running sync.WaitGroup
	for _, s := range services {
		running.Go(s.run)
	}
	running.Wait()
	return nil
}

// newServices creates the services. That of the platform front end is first.
func newServices(platform *Config, mysqlConfig *MySQLConfig) ([]*service, error) {
	var services []*service
	var platformFront *platformFrontEnd
	if platform != nil {
		applyResourceLimits(platform.Limits.Cores, platform.Limits.MemoryMB)
		s, f, err := newPlatformFrontEnd(platform)
		if err != nil {
			return nil, err
		}
		services = append(services, s)
		platformFront = f
	}
	if mysqlConfig != nil {
		s, err := newMySQLFrontEnd(mysqlConfig, platformFront)
		if err != nil {
			return nil, err
		}
		services = append(services, s)
	}
	return services, nil
}
