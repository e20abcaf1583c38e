package org.buckthornhub.connection

/**
 * Why a target gave no whole answer.
 *
 * @property mayHaveRun false only if nothing of the statement left this process
 * @property isSilent true if the connection stayed open without an answer
 */
public data class TargetLinkFailure(
    val mayHaveRun: Boolean,
    val isSilent: Boolean,
    val detail: String,
)
