package org.buckthornhub.overload

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.channel.Channel
import io.netty.channel.ChannelException
import io.netty.channel.ChannelOption

/** Ends a connection without waiting for a peer that may neither read nor answer. */
public object ChannelReset {
    private val logger = KotlinLogging.logger {}

    /** May be called on any thread. */
    public fun reset(channel: Channel) {
        try {
            if (channel.isActive) channel.config().setOption(ChannelOption.SO_LINGER, 0)
        } catch (e: ChannelException) {
            logger.debug { "the connection ended before it was reset: ${e.message}" }
        }
        channel.close()
    }
}
