package org.buckthornhub.load.session

/** The way of one session to whatever answers its statements. */
public interface CallerLink {
    /** Sends one statement and waits for its end. */
    public suspend fun send(statement: LoadStatement, token: String?): LinkAnswer
}
