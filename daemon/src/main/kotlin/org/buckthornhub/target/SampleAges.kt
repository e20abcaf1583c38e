package org.buckthornhub.target

import kotlinx.serialization.Serializable

/** Answer of the owner of a primary to a question for samples. */
@Serializable
internal data class SampleAges(val samples: List<SampleAge> = emptyList())
