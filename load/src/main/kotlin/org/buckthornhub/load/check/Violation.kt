package org.buckthornhub.load.check

/** One promise that a run broke; [detail] is for the person who looks for the cause. */
public data class Violation(val detail: String)
