package org.buckthornhub.settings

/** How log lines are written. */
public enum class LogFormat {
    TEXT,
    JSON,
}
