package org.buckthornhub.target

import kotlinx.serialization.Serializable

/** Samples that the owner of a primary returns. */
@Serializable
internal data class SampleAges(val samples: List<SampleAge> = emptyList())
