package gateway

// This file defines operatorTable, which applies the rows that operators write to the platform's store: the
// configuration, zones out of service and orders of roll-outs.

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"bulrushtally/follow"
	"bulrushtally/placement"
	"bulrushtally/platform"
	"bulrushtally/route"
)

// operatorTable applies the rows that operators write: the configuration, and the
// availability zones that are out of service.
type operatorTable struct {
	currentConfig *route.CurrentTable
	placer        *placement.Placement
	logger        zerolog.Logger
	rollouts      *rollouts // nil if the deployment has none

	mu            sync.Mutex
	outOfService  map[string]bool // by zone
	copied        map[string]bool // whether a zone is out of service by the copy that the store came back from, if that differs
	doubts        deadlines       // when that counts, by zone
	listedVersion uint64          // of the configuration that the store holds
	confirmation  confirmation
}

// confirmation states that a configuration version was current at a reading of the store's
// clock.
type confirmation struct {
	version    uint64
	storeClock time.Duration // 0 if unknown
	era        uint64        // of the store
}

var _ follow.Table = (*operatorTable)(nil)

func newOperatorTable(c *route.CurrentTable, p *placement.Placement, logger zerolog.Logger) *operatorTable {
	return &operatorTable{currentConfig: c, placer: p, logger: logger, outOfService: map[string]bool{}, copied: map[string]bool{}, doubts: deadlines{}}
}

// listedZones returns the zones that rows take out of service.
func listedZones(rows []follow.Row) map[string]bool {
	listed := map[string]bool{}
	for _, r := range rows {
		if zone, ok := platform.OutOfServiceZone(r.Key); ok {
			listed[zone] = true
		}
	}
	return listed
}

// Reset applies all rows of the table. A zone without a row is in service.
func (o *operatorTable) Reset(rows []follow.Row) {
	o.rollouts.resetOrders(rows, false)
	o.mu.Lock()
	defer o.mu.Unlock()
	clear(o.doubts)
	listed := listedZones(rows)
	for zone := range o.outOfService {
		if !listed[zone] {
			o.setOutOfService(zone, false, 0)
		}
	}
	o.apply(rows)
}

// Restore keeps zones in and out of service as they were until operators write them again, or doubtTime has passed. The
// configuration that the store holds now may be older than the one in force, which then is not confirmed any more.
func (o *operatorTable) Restore(rows []follow.Row) {
	o.rollouts.resetOrders(rows, true)
	o.mu.Lock()
	defer o.mu.Unlock()
	clear(o.doubts)
	listed, until := listedZones(rows), time.Now().Add(doubtTime)
	doubt := func(zone string) {
		if listed[zone] != o.outOfService[zone] {
			o.copied[zone] = listed[zone]
			o.doubts.begin(zone, until)
			o.logger.Info().Str("zone", zone).Bool("out_of_service", o.outOfService[zone]).Msg("zone-service-doubted")
		}
	}
	for zone := range listed {
		doubt(zone)
	}
	for zone := range o.outOfService {
		doubt(zone)
	}
	o.listedVersion = 0
	for _, r := range rows {
		if r.Key == platform.ConfigKey {
			o.adopt(r)
		}
	}
}

// Apply applies changed rows.
func (o *operatorTable) Apply(rows []follow.Row) {
	o.rollouts.addOrders(rows)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.apply(rows)
}

func (o *operatorTable) apply(rows []follow.Row) {
	for _, r := range rows {
		if zone, ok := platform.OutOfServiceZone(r.Key); ok {
			delete(o.doubts, zone)
			o.setOutOfService(zone, !r.Deleted, r.Version)
			continue
		}
		if r.Key == platform.ConfigKey && !r.Deleted {
			o.adopt(r)
		}
	}
}

// expire applies what the store came back with for zones that were not written again.
func (o *operatorTable) expire(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, zone := range o.doubts.due(now) {
		o.setOutOfService(zone, o.copied[zone], 0)
	}
}

// adopt puts the configuration of a row in force, unless it is invalid or older than the
// one in force; o.mu is held.
func (o *operatorTable) adopt(r follow.Row) {
	t, err := platform.DecodeConfig(r.Value)
	if err != nil {
		o.logger.Error().Err(err).Uint64("row_version", r.Version).Msg("configuration-refused")
		return
	}
	o.listedVersion = t.Version()
	if !o.currentConfig.Adopt(t) {
		return
	}
	o.placer.Configure(t)
	o.logger.Info().Uint64("version", t.Version()).Uint64("row_version", r.Version).
		Float64("tokens_per_second", t.Limits().CostPerSecond).Msg("configuration-adopted")
}

// setOutOfService takes a zone out of service or puts it back in service. The row
// version is that of the zone's row, or 0 if there is no row; o.mu is held.
func (o *operatorTable) setOutOfService(zone string, out bool, rowVersion uint64) {
	if o.outOfService[zone] == out {
		return
	}
	if out {
		o.outOfService[zone] = true
	} else {
		delete(o.outOfService, zone)
	}
	o.placer.SetZoneOutOfService(time.Now(), zone, out)
	o.logger.Info().Str("zone", zone).Bool("out_of_service", out).Uint64("row_version", rowVersion).Msg("zone-service-changed")
}

// Confirm records that the configuration in force was current, unless the store holds another one: after a return from a
// copy it may hold an older one for a while.
func (o *operatorTable) Confirm(c follow.Confirmation) {
	o.rollouts.confirmOrders(c.Era)
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.currentConfig.Table()
	if t == nil || t.Version() != o.listedVersion {
		return
	}
	o.currentConfig.ConfirmVersion(t.Version(), c.At)
	o.confirmation = confirmation{t.Version(), c.StoreTime, c.Era}
}

// lastConfirmation returns the last confirmation that this router received from the store.
func (o *operatorTable) lastConfirmation() confirmation {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.confirmation
}
