package gateway

import (
	"maps"
	"time"

	"github.com/hawthornrock/hawthornrock/platform"
)

// beforeAllOffsets is the offset of what was written in an earlier era of the store: offsets can only be compared within
// one era.
const beforeAllOffsets = -1

// restoredDecisionHold is how long operators have to write a decision on a failure domain again after the store came back
// from a copy: twice what the platform gives servers for their entries.
const restoredDecisionHold = 5 * time.Second

// observeStoreEra records that the store came back from a copy, if any of its answers said so.
func (c *controller) observeStoreEra(now time.Duration) {
	era := c.gateway.store.Era()
	if era <= c.storeEra {
		return
	}
	if c.storeEra != 0 {
		term, leads := c.leadership.candidate.Leads(now)
		c.gateway.metrics.events.Add("store_eras", 1)
		c.gateway.logger.Warn().Str("event", "store_era").Int64("from", c.storeEra).Int64("to", era).Int64("term", term).Bool("leads", leads).
			Msg("store came back from a copy; reading its topics anew")
		c.leadership.termsKnown = false
	}
	c.storeEra = era
	c.leadership.candidate.ObserveEra(era)
}

// observeTopicEra records the era of the records of m, and returns whether m is the first snapshot of its topic after the
// store came back from a copy. The offsets known so far say nothing in a new era.
func (c *controller) observeTopicEra(now time.Duration, m topicPage) bool {
	if c.topicEras == nil {
		c.topicEras = make(map[string]int64)
	}
	before := c.topicEras[m.topic]
	if m.update.Era <= before {
		return false
	}
	c.topicEras[m.topic] = m.update.Era
	if before == 0 || !c.loadedTopics[m.topic] {
		return false
	}
	switch m.topic {
	case platform.TopicOperators:
		c.configurationOffset = beforeAllOffsets
	case platform.TopicServers:
		c.servers.startEra()
	}
	c.gateway.logger.Warn().Str("event", "topic_restored").Str("topic", m.topic).Int64("era", m.update.Era).Int64("end", m.update.End).
		Int64("end_before", m.endBefore).Int("records", len(m.update.Records)).Dur("age", now-m.update.ReadAt).Msg("topic read anew after the store came back from a copy")
	return true
}

// applyDomains applies the operators' decisions on failure domains. Those that were known before the store came back from
// a copy hold for a while, unless the operators write others: the copy may lack them.
func (c *controller) applyDomains(now time.Duration, m topicPage) {
	shown := c.domainsShown
	if m.update.Whole {
		shown = nil
	}
	shown = maps.Clone(shown)
	if shown == nil {
		shown = make(map[string]bool)
	}
	written := make(map[string]bool)
	for _, r := range m.update.Records {
		domain, ok := platform.DomainOut(r.Key)
		if !ok {
			continue
		}
		if delete(shown, domain); len(r.Value) > 0 {
			shown[domain] = true
		}
		written[domain] = r.Offset >= m.endBefore
	}
	c.domainsShown = shown
	if c.heldDomains == nil {
		c.heldDomains = make(map[string]time.Duration)
	}
	either := maps.Clone(shown)
	maps.Copy(either, c.domainsOut)
	for domain := range either {
		_, held := c.heldDomains[domain]
		switch {
		case written[domain]:
			delete(c.heldDomains, domain)
		case m.restored && shown[domain] != c.domainsOut[domain]:
			c.heldDomains[domain], held = now+restoredDecisionHold, true
			c.gateway.logger.Info().Str("event", "domain_held").Str("failure_domain", domain).Bool("out", c.domainsOut[domain]).Dur("hold", restoredDecisionHold).
				Msg("copy of the store does not have the last known decision on a failure domain; it holds until the operators have had time to write it again")
		}
		if written[domain] || !held {
			c.setDomain(now, m.update.ReadAt, domain, shown[domain])
		}
	}
}

// setDomain takes a failure domain out of service or puts it back, as read at readAt.
func (c *controller) setDomain(now, readAt time.Duration, domain string, out bool) {
	if out == c.domainsOut[domain] {
		return
	}
	c.domainsOut = maps.Clone(c.domainsOut)
	if delete(c.domainsOut, domain); out {
		c.domainsOut[domain] = true
	}
	c.gateway.logger.Info().Str("event", "domain").Str("failure_domain", domain).Bool("out", out).Dur("age", now-readAt).
		Msg("operators took a failure domain out of service or put it back")
	c.dirty = true
}

// expireHeldDomains applies what the store says of the failure domains whose decisions were not written again in time.
func (c *controller) expireHeldDomains(now time.Duration) {
	for domain, until := range c.heldDomains {
		if now >= until {
			delete(c.heldDomains, domain)
			c.setDomain(now, c.operatorsReadAt, domain, c.domainsShown[domain])
		}
	}
}
