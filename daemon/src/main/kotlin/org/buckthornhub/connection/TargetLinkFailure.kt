package org.buckthornhub.connection

/**
 * Reason why a target gave no complete answer.
 *
 * @property mayHaveRun false only if no part of the statement was sent
 * @property isSilent true if the connection stayed open without an answer
 */
public data class TargetLinkFailure(
    val mayHaveRun: Boolean,
    val isSilent: Boolean,
    val detail: String,
)
