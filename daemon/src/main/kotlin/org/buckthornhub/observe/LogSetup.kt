package org.buckthornhub.observe

import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.JsonEncoder
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import org.buckthornhub.settings.LogFormat
import org.slf4j.LoggerFactory

/** Applies the configured log format. */
internal object LogSetup {
    fun apply(format: LogFormat) {
        if (format == LogFormat.TEXT) return
        val context = LoggerFactory.getILoggerFactory() as? LoggerContext ?: return
        val root = context.getLogger(Logger.ROOT_LOGGER_NAME)
        root.detachAndStopAllAppenders()
        root.addAppender(jsonAppender(context))
    }

    private fun jsonAppender(context: LoggerContext) = ConsoleAppender<ILoggingEvent>().apply {
        this.context = context
        name = "json"
        target = "System.err"
        encoder =
            JsonEncoder().apply {
                this.context = context
                start()
            }
        start()
    }
}
