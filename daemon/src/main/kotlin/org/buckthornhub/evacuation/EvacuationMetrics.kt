package org.buckthornhub.evacuation

import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.buckthornhub.control.Evacuations
import org.buckthornhub.decisionlog.SessionMetrics

/** Metrics of the evacuations that a process knows of. */
internal object EvacuationMetrics {
    fun register(registry: PrometheusRegistry, current: () -> Evacuations) {
        SessionMetrics.gauge(registry, "buckthornhub_evacuated_zones", "Availability zones that are evacuated.") {
            current().zones.size.toDouble()
        }
        SessionMetrics.gauge(registry, "buckthornhub_evacuation_revision", "Changes of the evacuated zones so far.") {
            current().revision.toDouble()
        }
    }
}
