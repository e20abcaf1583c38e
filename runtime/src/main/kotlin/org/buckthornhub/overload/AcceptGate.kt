package org.buckthornhub.overload

import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter

/**
 * Handler of a server socket that closes connections as soon as they are accepted while too many are open.
 *
 * A connection that is closed to make room keeps its descriptor until its event loop gets to it. Many clients that connect at once
 * would use up all descriptors in that time.
 */
@ChannelHandler.Sharable
public class AcceptGate(private val guard: ConnectionGuard) : ChannelInboundHandlerAdapter() {
    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        val accepted = message as Channel
        if (guard.accept()) {
            accepted.closeFuture().addListener(ChannelFutureListener { guard.closed() })
            context.fireChannelRead(accepted)
        } else {
            accepted.unsafe().closeForcibly()
        }
    }
}
