package org.buckthornhub.control

import kotlinx.serialization.Serializable

/** Body with the newest route table, as the operator sent it; exchanged between control VMs. */
@Serializable
internal data class RouteTableDocument(val document: String? = null)
