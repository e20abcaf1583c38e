package org.buckthornhub.error

/** Whether an error of this kind tells the caller that its statement changed no data. */
public val ErrorKind.promisesNoEffect: Boolean get() = ErrorTable.answerTo(this).execution != Execution.UNKNOWN
