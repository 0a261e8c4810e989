package config

import "time"

// settingDefinitions returns every setting in the order of the help text.
func settingDefinitions() []settingDefinition {
	return append(processSettings(), kernelSettings()...)
}

func processSettings() []settingDefinition {
	return []settingDefinition{
		textSetting("id", "name", "name of this proxy; the host's name if empty; a random suffix is added at each start", func(spec *Spec) *string { return &spec.ID }),
		textSetting("data-center", "name", "data centre in which this host stands", func(spec *Spec) *string { return &spec.DataCenter }),
		textSetting("listen", "ip:port", "address for callers", func(spec *Spec) *string { return &spec.Listen }),
		textSetting("peer-listen", "ip:port", "address for messages of other proxies", func(spec *Spec) *string { return &spec.PeerListen }),
		textSetting("peer-address", "ip:port", "address at which other proxies reach this one; the same as peer-listen if empty", func(spec *Spec) *string { return &spec.PeerAddress }),
		textSetting("admin-listen", "ip:port", "address for the administration API, metrics, /healthz and /readyz", func(spec *Spec) *string { return &spec.AdminListen }),
		textSetting("platform", "url", "base URL of the platform's service", func(spec *Spec) *string { return &spec.Platform }),
		textSetting("tls-cert", "file", "certificate file for callers; TLS is off if empty; reread when it changes", func(spec *Spec) *string { return &spec.TLSCert }),
		textSetting("tls-key", "file", "key file for callers", func(spec *Spec) *string { return &spec.TLSKey }),
		textSetting("admin-tls-cert", "file", "certificate file of the administration API; TLS is off if empty; reread when it changes", func(spec *Spec) *string { return &spec.AdminTLSCert }),
		textSetting("admin-tls-key", "file", "key file of the administration API", func(spec *Spec) *string { return &spec.AdminTLSKey }),
		textSetting("reader-tokens-file", "file", "file with the bearer tokens of readers, one a line", func(spec *Spec) *string { return &spec.ReaderTokensFile }),
		textSetting("operator-tokens-file", "file", "file with the bearer tokens of operators, one a line; needed unless admin-listen is a loopback address", func(spec *Spec) *string { return &spec.OperatorTokensFile }),
		intSetting("max-callers", "callers that may be connected at once", 1, func(spec *Spec) *int { return &spec.MaxCallers }),
		intSetting("max-message-bytes", "size of the largest message that a caller may send", 1024, func(spec *Spec) *int { return &spec.MaxMessageBytes }),
		intSetting("max-answer-bytes", "size of the largest answer that is passed to a caller", 1024, func(spec *Spec) *int { return &spec.MaxAnswerBytes }),
		durationSetting("startup-timeout", "time that the start-up of a caller's connection may take", func(spec *Spec) *time.Duration { return &spec.StartupTimeout }),
		textSetting("log-level", "level", "least level of log lines: error, warn, info or debug; settable at run time", func(spec *Spec) *string { return &spec.LogLevel }),
		intSetting("log-sample", "write the routing lines of one in this many requests; 0 writes none; settable at run time", 0, func(spec *Spec) *int { return &spec.LogSample }),
	}
}

func kernelSettings() []settingDefinition {
	return []settingDefinition{
		durationSetting("probe-interval", "time between status probes of an instance when nothing waits for them", func(spec *Spec) *time.Duration { return &spec.Kernel.ProbeInterval }),
		durationSetting("probe-spacing", "least time between two probes of an instance", func(spec *Spec) *time.Duration { return &spec.Kernel.ProbeSpacing }),
		durationSetting("probe-timeout", "time after which a probe counts as failed", func(spec *Spec) *time.Duration { return &spec.Kernel.ProbeTimeout }),
		durationSetting("silence-limit", "silence of a primary after which it counts as lost", func(spec *Spec) *time.Duration { return &spec.Kernel.SilenceLimit }),
		durationSetting("promotion-stagger", "time that each further proxy waits before it promotes in place of the first", func(spec *Spec) *time.Duration { return &spec.Kernel.PromotionStagger }),
		durationSetting("order-timeout", "time after which an order to an instance counts as failed", func(spec *Spec) *time.Duration { return &spec.Kernel.OrderTimeout }),
		durationSetting("default-timeout", "time after which a request gets its final answer, where neither kind nor request says", func(spec *Spec) *time.Duration { return &spec.Kernel.DefaultTimeout }),
		durationSetting("heartbeat-interval", "time between messages to the other proxies", func(spec *Spec) *time.Duration { return &spec.Kernel.HeartbeatInterval }),
		durationSetting("peer-limit", "silence after which another proxy counts as gone", func(spec *Spec) *time.Duration { return &spec.Kernel.PeerLimit }),
		listSetting("peer-seeds", "ip:port,…", "addresses of other proxies, for a start while the platform's store is down; not needed otherwise", func(spec *Spec) *[]string { return &spec.Kernel.PeerSeeds }),
		durationSetting("store-poll-interval", "least time between two polls of the platform's store", func(spec *Spec) *time.Duration { return &spec.Kernel.StorePollInterval }),
		durationSetting("store-timeout", "time after which a query to the platform's store counts as failed", func(spec *Spec) *time.Duration { return &spec.Kernel.StoreTimeout }),
		durationSetting("confirm-limit", "time that a revision counts as current without being confirmed; the same on all proxies", func(spec *Spec) *time.Duration { return &spec.Kernel.ConfirmLimit }),
		durationSetting("host-poll-interval", "time between two polls of the host list", func(spec *Spec) *time.Duration { return &spec.Kernel.HostPollInterval }),
		intSetting("conns-per-instance", "connections that all proxies together may hold to an instance", 1, func(spec *Spec) *int { return &spec.Kernel.ConnsPerInstance }),
		intSetting("slots-per-instance", "statements that an instance runs at once", 1, func(spec *Spec) *int { return &spec.Kernel.SlotsPerInstance }),
		durationSetting("conn-idle", "time after which an unused backend connection is closed", func(spec *Spec) *time.Duration { return &spec.Kernel.ConnIdle }),
		intSetting("max-waiting", "requests of one deployment that may wait in this proxy", 1, func(spec *Spec) *int { return &spec.Kernel.MaxWaiting }),
		durationSetting("drain-limit", "time after which a draining proxy ends the requests in flight with an answer, and stops", func(spec *Spec) *time.Duration { return &spec.Kernel.DrainLimit }),
		durationSetting("ledger-retention", "time that the request ledger keeps its rows; the same on all proxies", func(spec *Spec) *time.Duration { return &spec.Kernel.LedgerRetention }),
	}
}
