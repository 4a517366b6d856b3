package server

import "sync"

// Run serves until SIGTERM and the last response: as a platform front end if
// platform is there, as a MySQL front end if mysqlConfig is, or as both. It returns
// an error if it can't start.
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

// newServices makes the services, the platform front end's first.
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
