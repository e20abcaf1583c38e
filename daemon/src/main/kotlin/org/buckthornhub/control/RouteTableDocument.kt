package org.buckthornhub.control

import kotlinx.serialization.Serializable

/** The newest route table between control VMs, as the operator sent it. */
@Serializable
internal data class RouteTableDocument(val document: String? = null)
