package org.buckthornhub.settings

/** Output format of log lines. */
public enum class LogFormat {
    TEXT,
    JSON,
}
